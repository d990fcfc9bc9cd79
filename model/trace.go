package model

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// traceLines bounds a trace.
const traceLines = 400

// line is one entry of a trace: an event of a member or a record that landed.
type line struct {
	at     time.Duration
	by     ident.Incarnation
	event  events.Event
	record *table.Record
	result table.Result
}

// trace keeps the latest entries.
type trace struct{ lines []line }

func (t *trace) add(l line) {
	if len(t.lines) >= 2*traceLines {
		t.lines = append([]line(nil), t.lines[traceLines:]...)
	}
	t.lines = append(t.lines, l)
}

// Note adds a line about a host to the trace.
func (w *World) Note(host int, text string) {
	w.trace.add(line{at: w.now, by: w.hosts[host].Inc(), event: events.Event{Note: text}})
}

// Trace returns the latest events and records, one a line.
func (w *World) Trace() string {
	var b strings.Builder
	for _, l := range w.trace.lines {
		fmt.Fprintf(&b, "%8s %-9s %s\n", l.at, l.by, l.text())
	}
	return b.String()
}

func (l *line) text() string {
	r := l.record
	if r == nil {
		e := &l.event
		return fmt.Sprintf("%s %d-%d member %s %s", e.Kind, e.First, e.Last, e.Member, e.Note)
	}
	what := ""
	switch {
	case r.Changes != nil:
		what = fmt.Sprintf("to %s %v", r.Changes.To, r.Changes.Slots)
	case r.Takeover != nil:
		what = fmt.Sprintf("from %s %v votes %v", r.Takeover.From, r.Takeover.Slots, r.Takeover.Votes)
	case r.WitnessList != nil:
		what = fmt.Sprint(r.WitnessList.Witnesses)
	case r.Removal != nil:
		what = fmt.Sprintf("%s votes %v", r.Removal.Inc, r.Removal.Votes)
	}
	return fmt.Sprintf("RECORD kind %d id %d seq %d %s: applied %t %s", r.Kind, r.ID.N, r.Seq, what, l.result.Applied, l.result.Reason)
}
