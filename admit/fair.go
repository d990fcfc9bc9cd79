package admit

import "time"

// Waiter is a queued request.
type Waiter struct {
	hash     uint64
	arrived  time.Time
	deadline time.Time
	flow     *flow
	ready    chan Verdict
}

// Ready delivers the final verdict on a queued request: Run, Expired or Shed.
func (w *Waiter) Ready() <-chan Verdict { return w.ready }

// flow is the queue of one key, oldest request first.
type flow struct {
	hash       uint64
	waiters    []*Waiter
	next, prev *flow
}

// fairQueue serves the queues of all keys in round-robin order. Its memory is
// bounded by the number of queued requests, since a key without any has no
// flow.
type fairQueue struct {
	flows map[uint64]*flow
	// head is the flow that is served next; the flows form a circular list.
	head  *flow
	count int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[uint64]*flow)}
}

// push appends a request to the queue of its key. The queue of a new key is
// served after all existing ones.
func (q *fairQueue) push(w *Waiter) {
	f := q.flows[w.hash]
	if f == nil {
		f = &flow{hash: w.hash}
		q.flows[w.hash] = f
		q.link(f)
	}
	w.flow = f
	f.waiters = append(f.waiters, w)
	q.count++
}

// pop removes the oldest request of the flow that is served next. Returns nil
// when the queue is empty.
func (q *fairQueue) pop() *Waiter {
	f := q.head
	if f == nil {
		return nil
	}
	w := f.waiters[0]
	q.head = f.next
	q.remove(w, 0)
	return w
}

// cancel removes a request. Returns false when it is not queued any more.
func (q *fairQueue) cancel(w *Waiter) bool {
	if w.flow == nil {
		return false
	}
	for i, other := range w.flow.waiters {
		if other == w {
			q.remove(w, i)
			return true
		}
	}
	return false
}

// longest returns the flow with the most queued requests, nil when there is
// none.
func (q *fairQueue) longest() *flow {
	var best *flow
	for f := q.head; f != nil; f = f.next {
		if best == nil || len(f.waiters) > len(best.waiters) {
			best = f
		}
		if f.next == q.head {
			break
		}
	}
	return best
}

// ahead returns at most how many queued requests would be served before a new
// request of the key.
func (q *fairQueue) ahead(hash uint64) int {
	own := 0
	if f := q.flows[hash]; f != nil {
		own = len(f.waiters)
	}
	return min(q.count, (own+1)*len(q.flows))
}

func (q *fairQueue) remove(w *Waiter, i int) {
	f := w.flow
	w.flow = nil
	copy(f.waiters[i:], f.waiters[i+1:])
	f.waiters[len(f.waiters)-1] = nil
	f.waiters = f.waiters[:len(f.waiters)-1]
	q.count--
	if len(f.waiters) == 0 {
		delete(q.flows, f.hash)
		q.unlink(f)
	}
}

// link appends a flow to the circular list.
func (q *fairQueue) link(f *flow) {
	if q.head == nil {
		f.next, f.prev = f, f
		q.head = f
		return
	}
	last := q.head.prev
	last.next, f.prev = f, last
	f.next, q.head.prev = q.head, f
}

func (q *fairQueue) unlink(f *flow) {
	if f.next == f {
		q.head = nil
		return
	}
	f.prev.next, f.next.prev = f.next, f.prev
	if q.head == f {
		q.head = f.next
	}
}
