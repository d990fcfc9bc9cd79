package sched

import (
	"sync"
	"time"
)

const (
	// deadlineTolerance is the difference up to which the deadlines of two attempts
	// count as equal. An attempt carries the time left when it was sent, not the
	// deadline itself, and the transport from the caller takes a few milliseconds, more
	// on a busy host.
	deadlineTolerance = 30 * time.Millisecond
	// maxFailures is the number of failed calls that are remembered. Beyond it the
	// oldest are evicted, and a retry of an evicted call counts as a first attempt.
	maxFailures = 4096
)

// RetryTracker remembers calls that were not served, so that a retry of the same request is
// recognized. A retry has the same fingerprint and the same deadline. The time left
// can't identify a retry, since it also differs among first attempts. RetryTracker is safe
// for concurrent use.
type RetryTracker struct {
	mu     sync.Mutex
	failed map[uint64][]failure
	// ring is a ring buffer of the keys of the remembered failures; the oldest is at
	// next once it is full.
	ring []failureKey
	next int
}

// failureKey identifies a remembered failure.
type failureKey struct {
	fingerprint uint64
	deadline    time.Time
}

// failure is a call that was not served.
type failure struct {
	firstAttempt, deadline time.Time
}

// NewRetryTracker returns a RetryTracker that remembers no failures.
func NewRetryTracker() *RetryTracker {
	return &RetryTracker{failed: make(map[uint64][]failure), ring: make([]failureKey, 0, maxFailures)}
}

// FirstAttempt returns the time of the first attempt of a request. If an attempt with the same
// fingerprint and deadline has failed, it returns the time recorded for that one and
// removes the record. Otherwise it returns now.
func (r *RetryTracker) FirstAttempt(now time.Time, fingerprint uint64, deadline time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.failed[fingerprint]
	best, bestDiff := -1, deadlineTolerance
	for i, f := range list {
		if d := f.deadline.Sub(deadline).Abs(); d <= bestDiff {
			best, bestDiff = i, d
		}
	}
	if best < 0 {
		return now
	}
	firstAttempt := list[best].firstAttempt
	r.remove(fingerprint, best)
	return firstAttempt
}

// RecordFailure records an attempt that was not served.
func (r *RetryTracker) RecordFailure(fingerprint uint64, firstAttempt, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := failureKey{fingerprint: fingerprint, deadline: deadline}
	if len(r.ring) < maxFailures {
		r.ring = append(r.ring, key)
	} else {
		r.evict(r.ring[r.next])
		r.ring[r.next] = key
		r.next = (r.next + 1) % maxFailures
	}
	r.failed[fingerprint] = append(r.failed[fingerprint], failure{firstAttempt: firstAttempt, deadline: deadline})
}

// evict removes a failure, unless a retry has removed it already.
func (r *RetryTracker) evict(old failureKey) {
	for i, f := range r.failed[old.fingerprint] {
		if f.deadline.Equal(old.deadline) {
			r.remove(old.fingerprint, i)
			return
		}
	}
}

// remove removes the failure at index i of a fingerprint.
func (r *RetryTracker) remove(fingerprint uint64, i int) {
	list := r.failed[fingerprint]
	if len(list) == 1 {
		delete(r.failed, fingerprint)
		return
	}
	r.failed[fingerprint] = append(list[:i:i], list[i+1:]...)
}
