package journl

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// compactSlack is the number of removed entries that are not worth a copy.
const compactSlack = 64

// shardLog holds the entries of one shard, as its owner or as the replica of
// a successor.
type shardLog struct {
	entries map[keyID]*entry
	// order lists the entries, the oldest first, from position head on.
	order []*entry
	head  int
	bytes int
	sum   *totals
	// floor is the time up to which keys that are not in entries are refused.
	floor time.Time
	owned bool
	// epoch is the epoch under which the log is whole; zero when it is not.
	epoch ident.Epoch
	// left is when the shard was last owned, or the replica last written.
	left time.Time
}

// totals counts the entries and bytes of all logs of a journal.
type totals struct{ entries, bytes int }

func newShardLog(sum *totals, floor time.Time) *shardLog {
	return &shardLog{entries: make(map[keyID]*entry), floor: floor, sum: sum}
}

func (s *shardLog) add(e *entry) {
	s.compact()
	s.entries[e.id] = e
	s.order = append(s.order, e)
	s.sum.entries++
	s.grow(e.size())
}

// grow counts bytes that an entry of the log has gained or lost.
func (s *shardLog) grow(n int) {
	s.bytes += n
	s.sum.bytes += n
}

// compact drops removed entries from the order once they outnumber the rest.
func (s *shardLog) compact() {
	if len(s.order)-s.head <= 2*len(s.entries)+compactSlack {
		return
	}
	kept := make([]*entry, 0, len(s.entries)+1)
	for _, e := range s.order[s.head:] {
		if s.entries[e.id] == e {
			kept = append(kept, e)
		}
	}
	s.order, s.head = kept, 0
}

// remove forgets an entry without raising the floor: its request did not run.
func (s *shardLog) remove(e *entry) {
	if s.entries[e.id] == e {
		delete(s.entries, e.id)
		s.sum.entries--
		s.grow(-e.size())
	}
}

// raise moves the floor up to t.
func (s *shardLog) raise(t time.Time) {
	if t.After(s.floor) {
		s.floor = t
	}
}

// oldest returns the oldest entry, or nil.
func (s *shardLog) oldest() *entry {
	for s.head < len(s.order) {
		e := s.order[s.head]
		if s.entries[e.id] == e {
			return e
		}
		s.skip()
	}
	return nil
}

// skip drops the first position of the order.
func (s *shardLog) skip() {
	s.order[s.head] = nil
	s.head++
	if s.head > compactSlack && s.head*2 > len(s.order) {
		s.order = append(s.order[:0:0], s.order[s.head:]...)
		s.head = 0
	}
}

// evict forgets the oldest entry and refuses keys as old as it from now on.
func (s *shardLog) evict() bool {
	e := s.oldest()
	if e == nil {
		return false
	}
	s.remove(e)
	s.skip()
	s.raise(e.id.made())
	return true
}

// expire evicts what was first seen before the given time.
func (s *shardLog) expire(before time.Time) {
	for e := s.oldest(); e != nil && e.seen.Before(before); e = s.oldest() {
		s.evict()
	}
}
