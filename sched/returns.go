package sched

import (
	"sync"
	"time"
)

const (
	// sameDeadline is by how much the deadlines of two attempts of one caller may
	// seem to differ: each comes with the time left when it was sent, and the way
	// from the caller takes a few milliseconds, more on a busy host.
	sameDeadline = 30 * time.Millisecond
	// maxReturns is the number of failed calls that are remembered. Beyond it the
	// oldest are forgotten, and their callers' next attempts count as first ones.
	maxReturns = 4096
)

// Returns remembers calls that were not served, so that the next attempt of the same
// caller is known as one: it is the same request with the same deadline. How much
// time a call comes with does not tell, since that differs among calls that have not
// failed here. Returns is safe for concurrent use.
type Returns struct {
	mu     sync.Mutex
	failed map[uint64][]failure
	// order holds what was remembered, the oldest at next.
	order []remembered
	next  int
}

// remembered names a failure.
type remembered struct {
	fingerprint uint64
	deadline    time.Time
}

// failure is a call that was not served.
type failure struct {
	begun, deadline time.Time
}

// NewReturns returns an empty memory.
func NewReturns() *Returns {
	return &Returns{failed: make(map[uint64][]failure), order: make([]remembered, 0, maxReturns)}
}

// Begun returns when the caller's first attempt began, as far as is known: now,
// unless an attempt with the same fingerprint and deadline has failed. That one is
// forgotten.
func (r *Returns) Begun(now time.Time, fingerprint uint64, deadline time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.failed[fingerprint]
	best, least := -1, sameDeadline
	for i, f := range list {
		if d := f.deadline.Sub(deadline).Abs(); d <= least {
			best, least = i, d
		}
	}
	if best < 0 {
		return now
	}
	begun := list[best].begun
	r.drop(fingerprint, best)
	return begun
}

// Failed remembers an attempt that was not served.
func (r *Returns) Failed(fingerprint uint64, begun, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := remembered{fingerprint: fingerprint, deadline: deadline}
	if len(r.order) < maxReturns {
		r.order = append(r.order, name)
	} else {
		r.forget(r.order[r.next])
		r.order[r.next] = name
		r.next = (r.next + 1) % maxReturns
	}
	r.failed[fingerprint] = append(r.failed[fingerprint], failure{begun: begun, deadline: deadline})
}

// forget drops a failure, unless its caller has come back.
func (r *Returns) forget(old remembered) {
	for i, f := range r.failed[old.fingerprint] {
		if f.deadline.Equal(old.deadline) {
			r.drop(old.fingerprint, i)
			return
		}
	}
}

// drop drops one failure of a fingerprint.
func (r *Returns) drop(fingerprint uint64, i int) {
	list := r.failed[fingerprint]
	if len(list) == 1 {
		delete(r.failed, fingerprint)
		return
	}
	r.failed[fingerprint] = append(list[:i:i], list[i+1:]...)
}
