package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/poison"
)

// TestAnswered guards against a request that counts as answered for too long, or because
// another one with the same slot was answered.
func TestAnswered(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		steps func(a *poison.Answered)
		// after is the time since the first step.
		after time.Duration
		want  bool
	}{
		{name: "never answered", steps: func(*poison.Answered) {}},
		{name: "answered", steps: func(a *poison.Answered) { a.Record(now, 0) }, want: true},
		{name: "answer just within the retention", after: poison.AnsweredRetention - 1, want: true,
			steps: func(a *poison.Answered) { a.Record(now, 0) }},
		{name: "answer too old", after: poison.AnsweredRetention,
			steps: func(a *poison.Answered) { a.Record(now, 0) }},
		{name: "another request in the same slot", steps: func(a *poison.Answered) { a.Record(now, 1<<40) }},
		{name: "forgotten for another request", steps: func(a *poison.Answered) {
			a.Record(now, 0)
			a.Record(now, 1<<40)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := poison.NewAnswered()
			test.steps(a)
			qt.New(t).Assert(a.Contains(now.Add(test.after), 0), qt.Equals, test.want)
		})
	}
}
