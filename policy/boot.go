package policy

import (
	"errors"
	"fmt"
	"slices"
)

// maxKept bounds the entries that a state keeps while it waits for a
// snapshot, in bytes.
const maxKept = 8 << 20

// boot is what a state that is not whole keeps: every entry from the offset
// from onwards, to apply on top of a snapshot. It is immutable.
type boot struct {
	from uint64
	last *kept
	size int
}

// kept is one entry with the one before it.
type kept struct {
	offset uint64
	entry  Entry
	prev   *kept
}

// keep returns b with one more entry. Where there would be too many, it starts
// over: a later snapshot makes the state whole.
func (b *boot) keep(offset uint64, e Entry) *boot {
	n := &boot{from: b.from, size: b.size + size(&e)}
	if n.size > maxKept {
		return &boot{from: offset + 1}
	}
	n.last = &kept{offset: offset, entry: e, prev: b.last}
	return n
}

// size returns about how much memory an entry takes, in bytes.
func size(e *Entry) int {
	const overhead = 160
	return overhead + len(e.Body) + len(e.Sig)
}

// since returns the kept entries from the offset next onwards, oldest first.
func (b *boot) since(next uint64) []*kept {
	var entries []*kept
	for k := b.last; k != nil && k.offset >= next; k = k.prev {
		entries = append(entries, k)
	}
	slices.Reverse(entries)
	return entries
}

// errNotFresh reports a seed for a state that has read the log.
var errNotFresh = errors.New("the state has read the log")

// seed returns the state with the subtrees of one snapshot chunk in force, as
// another member holds them. Only a state that has read nothing takes them.
func (s *State) seed(e Entry) (*State, error) {
	if s.next != firstOffset {
		return s, errNotFresh
	}
	if e.Kind != KindSnapshot {
		return s, fmt.Errorf("entry of kind %d, a chunk of a snapshot needed", e.Kind)
	}
	var chunk Chunk
	if err := decoder.Unmarshal(e.Body, &chunk); err != nil {
		return s, fmt.Errorf("decode snapshot: %w", err)
	}
	n := s.clone()
	n.whole = false
	n.boot = &boot{from: firstOffset}
	for i := range chunk.Teams {
		t, err := s.verify(&chunk.Teams[i])
		if err != nil {
			return s, err
		}
		n.take(t)
	}
	return n, nil
}

// applyGenesis makes a state whole that would wait for a snapshot in vain.
func (s *State) applyGenesis(e Entry) Verdict {
	if !e.signedByAny(s.roots) {
		return Verdict{result: Unsigned, note: "not signed by the root key"}
	}
	if s.whole {
		return Verdict{result: Stale, note: "the state in hand is whole"}
	}
	s.begin()
	s.anew = true
	return Verdict{result: Accepted, note: "the log starts anew"}
}

// finish makes the state whole by a snapshot of what stood before next, and
// applies the entries that were kept since. It reports whether the state is
// whole.
func (s *State) finish(next uint64) bool {
	if s.whole || next < s.boot.from {
		return s.whole
	}
	entries := s.boot.since(next)
	s.begin()
	for _, k := range entries {
		s.applySigned(k.offset, k.entry)
	}
	return true
}
