package events

import (
	"cmp"
	"slices"
	"strings"
)

// Merge merges the batches of several daemons into one list in causal order and
// removes duplicates: an event that happened before another precedes it.
func Merge(batches []Batch) []Event {
	n := 0
	for _, b := range batches {
		n += len(b.Events)
	}
	all := make([]Event, 0, n)
	for _, b := range batches {
		all = append(all, b.Events...)
	}
	slices.SortStableFunc(all, compareEvents)
	return slices.Compact(all)
}

// compareEvents orders events by stamp, then by host, kind and note. A recorder never
// assigns a stamp twice, so sorting makes duplicates of an event adjacent.
func compareEvents(a, b Event) int {
	if c := cmp.Compare(a.Clock, b.Clock); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Host), string(b.Host)); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Note, b.Note)
}
