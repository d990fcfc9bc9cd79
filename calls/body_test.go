package calls_test

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

func TestBuffer(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		length int64
		whole  bool
		fails  bool
	}{
		{name: "empty", whole: true},
		{name: "known length", body: "abc", length: 3, whole: true},
		{name: "length not known", body: "abc", length: -1, whole: true},
		{name: "just fits", body: "abcdefgh", length: -1, whole: true},
		{name: "too long", body: "abcdefghi", length: 9},
		{name: "too long, length not known", body: "abcdefghi", length: -1},
		{name: "cut", body: "ab", length: 3, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			call := &calls.Call{Body: strings.NewReader(tt.body), Length: tt.length}
			whole, err := calls.Buffer(call, 8)
			c.Assert(err != nil, qt.Equals, tt.fails)
			c.Assert(whole, qt.Equals, tt.whole)
			if tt.fails {
				return
			}
			prefix, err := calls.PeekBody(call, 2)
			c.Assert(err, qt.IsNil)
			c.Assert(string(prefix), qt.Equals, tt.body[:min(2, len(tt.body))])
			got, err := io.ReadAll(call.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, tt.body)
			if body, ok := call.Body.(*calls.Buffered); ok {
				body.Rewind()
				got, _ = io.ReadAll(body)
				c.Assert(string(got), qt.Equals, tt.body)
			}
		})
	}
}

func TestWholeBody(t *testing.T) {
	for length, ok := range map[int64]bool{2: false, 3: true, 4: false, -1: true} {
		_, err := io.ReadAll(calls.CheckBodyLength(io.NopCloser(strings.NewReader("abc")), length))
		if ok {
			qt.New(t).Assert(err, qt.IsNil)
		} else {
			qt.New(t).Assert(err, qt.ErrorIs, calls.ErrBodyLength)
		}
	}
}

func FuzzIdempotencyTime(f *testing.F) {
	f.Add("01a23fa3-5280-7893-af8f-7bb8659fb47e")
	f.Add("1764826000000-stop")
	f.Add("{01a23fa3-5280-7893-af8f-7bb8659fb47e}")
	f.Add("0000000000000-")
	f.Fuzz(func(t *testing.T, key string) {
		made, err := calls.IdempotencyTime(key)
		if err == nil && (made.Before(time.UnixMilli(0)) || made.UnixMilli() >= 1<<48) {
			t.Fatalf("%q carries %v", key, made)
		}
	})
}
