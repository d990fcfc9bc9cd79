package sched

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// sweepTime is how often waiting calls are looked through for those that can't
// be served any more.
const sweepTime = 25 * time.Millisecond

// Gate runs a Queue for concurrent callers.
type Gate struct {
	clock clockwork.Clock

	mu    sync.Mutex
	queue *Queue
	// sweeping is set while a sweep is due.
	sweeping bool
}

// NewGate returns a gate for an upstream that has announced no slots yet.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, queue: NewQueue()}
}

// Ticket is a call's stay at the upstream.
type Ticket struct {
	gate    *Gate
	class   string
	planned time.Duration
	started time.Time
}

// Announce sets the number of calls that the upstream runs at once.
func (g *Gate) Announce(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Announce(slots)
	g.decide()
}

// Forget drops what was measured, for a new life of the upstream.
func (g *Gate) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Forget()
}

// Enter waits until the call may run. Its error is a *calls.Error that says "not
// run".
func (g *Gate) Enter(ctx context.Context, d Demand) (*Ticket, error) {
	g.mu.Lock()
	w, verdict, after := g.queue.Arrive(g.clock.Now(), d)
	planned := g.queue.Service(d.Class)
	if verdict == Wait {
		g.sweepLater()
	}
	g.mu.Unlock()
	switch verdict {
	case Run:
		return g.ticket(d.Class, planned), nil
	case Refuse:
		return nil, calls.NewNotRun(calls.ReasonOverload, calls.WithRetryAfter(after))
	case Wait:
	}
	select {
	case verdict = <-w.verdict:
	case <-ctx.Done():
		if verdict = g.cancel(w); verdict == Wait {
			return nil, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
		}
	}
	if verdict == Refuse {
		return nil, calls.NewNotRun(calls.ReasonQueueTimeout, calls.WithRetryAfter(g.Wait()))
	}
	return g.ticket(d.Class, w.service), nil
}

// cancel gives up waiting, unless it was decided about the call before.
func (g *Gate) cancel(w *Waiter) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case v := <-w.verdict:
		return v
	default:
		g.queue.Cancel(w)
		return Wait
	}
}

func (g *Gate) ticket(class string, planned time.Duration) *Ticket {
	return &Ticket{gate: g, class: class, planned: planned, started: g.clock.Now()}
}

// Done ends the call's stay.
func (t *Ticket) Done(result Result) {
	g := t.gate
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(now, t.class, t.planned, now.Sub(t.started), result)
	g.decide()
}

// Cancel ends the stay of a call that was not sent to the upstream.
func (t *Ticket) Cancel() { t.Done(Failed) }

// decide tells the waiters that are decided about.
func (g *Gate) decide() {
	now := g.clock.Now()
	for {
		w, v := g.queue.Next(now)
		if w == nil {
			return
		}
		w.verdict <- v
	}
}

// sweepLater looks through the waiting calls after a while.
func (g *Gate) sweepLater() {
	if g.sweeping {
		return
	}
	g.sweeping = true
	g.clock.AfterFunc(sweepTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sweeping = false
		g.decide()
		if g.queue.Waiting() > 0 {
			g.sweepLater()
		}
	})
}

// Service returns the mean service time of a class.
func (g *Gate) Service(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Service(class)
}

// Wait returns how long a call of the least rank would wait.
func (g *Gate) Wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Wait()
}

// Load returns the rate of calls that arrive and the rate that could be served,
// per second.
func (g *Gate) Load() (offered, capacity float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(g.clock.Now())
}

// State returns the numbers of calls that run and wait, and the slots.
func (g *Gate) State() (running, waiting, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.Slots()
}
