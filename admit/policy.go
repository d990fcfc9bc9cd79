package admit

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request is sent to the upstream at once.
	Admitted Verdict = iota + 1
	// Queued means that the request waits; its Waiter delivers the final verdict.
	Queued
	// Shed refuses the request because the queue is full or the expected wait
	// exceeds the deadline.
	Shed
	// Expired refuses a request whose deadline has passed, or is too near for
	// an answer after its wait in the queue.
	Expired
)

// Result is how an admitted request ended.
type Result uint8

// Results.
const (
	// Served means that the upstream answered.
	Served Result = iota + 1
	// Refused means that the upstream shed the request.
	Refused
	// Failed means that there was no answer; the limit is not adjusted.
	Failed
)

const (
	// queuePerSlot is the default queue capacity per announced slot.
	queuePerSlot = 8
	// minQueueCapacity is the smallest default queue capacity.
	minQueueCapacity = 32
	// minRetryAfter is the minimum delay that a refused caller is asked to
	// wait.
	minRetryAfter = 50 * time.Millisecond
)

// Policy decides which requests run, wait or are refused. It is not safe for
// concurrent use.
type Policy struct {
	limit     *Limit
	queue     *fairQueue
	maxQueued int
	running   int
	fair      bool
}

// NewPolicy returns a policy. MaxQueued is the maximum number of queued
// requests; zero derives it from the announced slots. Without fair, all keys
// share one queue.
func NewPolicy(maxQueued int, fair bool) *Policy {
	return &Policy{limit: NewLimit(), queue: newFairQueue(), maxQueued: maxQueued, fair: fair}
}

// Limit returns the policy's concurrency limit.
func (p *Policy) Limit() *Limit { return p.limit }

// Running returns the number of requests that run at the upstream.
func (p *Policy) Running() int { return p.running }

// Queued returns the number of queued requests.
func (p *Policy) Queued() int { return p.queue.count }

// Admit decides on a new request. It returns a Waiter when the verdict is
// Wait. A non-nil evicted is a queued request that was removed to make room;
// the caller must tell it the verdict Shed.
func (p *Policy) Admit(now time.Time, hash uint64, deadline time.Time) (w *Waiter, evicted *Waiter, v Verdict) {
	if !p.fair {
		hash = 0
	}
	if !deadline.After(now) {
		return nil, nil, Expired
	}
	if p.queue.count == 0 && p.running < p.limit.Value(now) {
		p.running++
		return nil, nil, Admitted
	}
	if now.Add(p.expectedWait(now, hash) + p.limit.ServiceTime()).After(deadline) {
		return nil, nil, Shed
	}
	if p.queue.count >= p.capacity() {
		evicted = p.evictFor(hash)
		if evicted == nil {
			return nil, nil, Shed
		}
	}
	w = &Waiter{hash: hash, arrived: now, deadline: deadline, ready: make(chan Verdict, 1)}
	p.queue.push(w)
	return w, evicted, Queued
}

// evictFor removes the newest request of the longest queue and returns it.
// Returns nil when the queue of hash would become at least as long.
func (p *Policy) evictFor(hash uint64) *Waiter {
	longest := p.queue.longest()
	own := 0
	if f := p.queue.flows[hash]; f != nil {
		own = len(f.waiters)
	}
	if longest == nil || len(longest.waiters) <= own+1 {
		return nil
	}
	w := longest.waiters[len(longest.waiters)-1]
	p.queue.remove(w, len(longest.waiters)-1)
	return w
}

// capacity returns the maximum number of queued requests.
func (p *Policy) capacity() int {
	if p.maxQueued > 0 {
		return p.maxQueued
	}
	return max(minQueueCapacity, queuePerSlot*int(p.limit.announced))
}

// expectedWait estimates how long a new request of a key would be queued.
func (p *Policy) expectedWait(now time.Time, hash uint64) time.Duration {
	turns := p.queue.ahead(hash) + 1
	return p.limit.ServiceTime() * time.Duration(turns) / time.Duration(p.limit.Value(now))
}

// RetryAfter estimates when a refused request could be admitted: after the
// current queue has been served.
func (p *Policy) RetryAfter(now time.Time) time.Duration {
	wait := p.limit.ServiceTime() * time.Duration(p.queue.count+1) / time.Duration(p.limit.Value(now))
	return max(wait, minRetryAfter)
}

// Finish records the result and the service time of a request that ran, and
// frees its slot.
func (p *Policy) Finish(now time.Time, service time.Duration, result Result) {
	switch result {
	case Served:
		p.limit.RecordServed(service, p.running)
	case Refused:
		p.limit.RecordRefused(now)
	case Failed:
	}
	p.running--
}

// Next removes the next queued request that can be decided on and returns its
// verdict: Run when it gets a free slot, Expired when it cannot be answered
// before its deadline. Returns nil and Queued when there is no free slot or no
// queued request.
func (p *Policy) Next(now time.Time) (*Waiter, Verdict) {
	if p.running >= p.limit.Value(now) {
		return nil, Queued
	}
	w := p.queue.pop()
	if w == nil {
		return nil, Queued
	}
	if !w.deadline.After(now.Add(p.minServiceTime())) {
		return w, Expired
	}
	p.running++
	return w, Admitted
}

// minServiceTime returns the shortest time in which an answer can be expected:
// half of the baseline service time.
func (p *Policy) minServiceTime() time.Duration {
	return time.Duration(p.limit.baseline * float64(time.Second) / 2)
}

// Cancel removes a queued request whose caller has gone. Returns false when its
// verdict was already made.
func (p *Policy) Cancel(w *Waiter) bool { return p.queue.cancel(w) }

// shedError returns the error for the verdict Shed or Expired.
func shedError(v Verdict, after time.Duration) *calls.Error {
	if v == Expired {
		return calls.NewNotRun(calls.ReasonQueueTimeout, calls.WithRetryAfter(after))
	}
	return calls.NewNotRun(calls.ReasonOverload, calls.WithRetryAfter(after))
}
