package events

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// timeLayout is the layout of the time at the start of a line: RFC 3339 with
// milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// LogFields returns the fields of an event as alternating keys and values for a logger.
// Empty fields are left out; "clock" and "host" always come first.
func LogFields(e Event) []any {
	pairs := make([]any, 0, 20)
	pairs = append(pairs, "clock", fmt.Sprintf("%016x", uint64(e.Clock)), "host", string(e.Host))
	if e.Service != "" {
		pairs = append(pairs, "service", string(e.Service), "slots", formatSlots(e))
	}
	if e.Count > 0 {
		pairs = append(pairs, "count", e.Count)
	}
	if e.Epoch > 0 {
		pairs = append(pairs, "epoch", uint64(e.Epoch))
	}
	if !e.Member.IsZero() {
		pairs = append(pairs, "member", e.Member.String())
	}
	if e.Offset > 0 {
		pairs = append(pairs, "offset", e.Offset)
	}
	if e.Note != "" {
		pairs = append(pairs, "note", e.Note)
	}
	return pairs
}

// formatSlots formats the slot range of an event: one slot or "first-last".
func formatSlots(e Event) string {
	if e.Last <= e.First {
		return fmt.Sprint(e.First)
	}
	return fmt.Sprintf("%d-%d", e.First, e.Last)
}

// wallTime returns the wall time of an event in UTC. The time is rounded to
// milliseconds because a stamp has a resolution of only 65.536 µs.
func wallTime(e Event) time.Time {
	return e.Clock.Time().UTC().Round(time.Millisecond)
}

// Line formats an event as one line of text without a trailing newline.
func Line(e Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %-10s", wallTime(e).Format(timeLayout), e.Host, e.Kind)
	// The first two pairs are the clock and the host, which the line shows already
	// as time and host.
	pairs := LogFields(e)[4:]
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i] == "note" {
			fmt.Fprintf(&b, " %q", pairs[i+1])
			continue
		}
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	return b.String()
}

// WriteText writes each event as one line of text.
func WriteText(w io.Writer, list []Event) error {
	for _, e := range list {
		if _, err := fmt.Fprintln(w, Line(e)); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}

// timedEvent is an event in JSON with its wall time added.
type timedEvent struct {
	Time time.Time `json:"time"`
	Event
}

// WriteJSON writes the events as one indented JSON array.
func WriteJSON(w io.Writer, list []Event) error {
	timed := make([]timedEvent, len(list))
	for i, e := range list {
		timed[i] = timedEvent{Time: wallTime(e), Event: e}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(timed); err != nil {
		return fmt.Errorf("write time line as JSON: %w", err)
	}
	return nil
}
