package sched

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// sweepInterval is the interval at which the queue is checked for waiting calls that
// can no longer be served in time.
const sweepInterval = 25 * time.Millisecond

// Gate runs a Queue for concurrent callers. It blocks each call until the queue lets it
// run or refuses it.
type Gate struct {
	clock clockwork.Clock

	mu    sync.Mutex
	queue *Queue
	// sweepScheduled is set while a timer for the next sweep is running.
	sweepScheduled bool
}

// NewGate returns a gate for an upstream that has not announced its slots yet. Until it
// does, no call runs.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, queue: NewQueue()}
}

// Ticket stands for a call that occupies a slot of the upstream.
type Ticket struct {
	gate      *Gate
	class     string
	estimated time.Duration
	started   time.Time
}

// Announce sets the number of calls that the upstream runs concurrently, and starts
// waiting calls if slots have become free.
func (g *Gate) Announce(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Announce(slots)
	g.dispatch()
}

// SetWarmup limits the calls that start in any second before the given time, at which the
// upstream has warmed up. A limit of 0 stands for none.
func (g *Gate) SetWarmup(limit int, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetWarmup(limit, until)
}

// ReportSlowness records how long work takes at the upstream at present, in proportion to
// the usual time, as the upstream says.
func (g *Gate) ReportSlowness(value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ReportSlowness(g.clock.Now(), value)
}

// IsCold reports whether starts are limited since the upstream is cold.
func (g *Gate) IsCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.warmup.active(g.clock.Now())
}

// ResetServiceTimes discards the measured service times. It is called when the upstream has
// restarted.
func (g *Gate) ResetServiceTimes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ResetServiceTimes()
}

// Enter blocks until the call may run, is refused, or ctx is done. Its error is a
// *calls.Error with the outcome "not run".
func (g *Gate) Enter(ctx context.Context, d Demand) (*Ticket, error) {
	g.mu.Lock()
	w, verdict, after := g.queue.Arrive(g.clock.Now(), d)
	estimated := g.queue.ServiceTime(d.Class)
	if verdict == Wait {
		// The call may have displaced another one, which is told at once.
		g.dispatch()
		g.scheduleSweep()
	}
	g.mu.Unlock()
	switch verdict {
	case Run:
		return g.newTicket(d.Class, estimated), nil
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
		return nil, calls.NewNotRun(calls.ReasonQueueTimeout, calls.WithRetryAfter(g.LongestWait()))
	}
	return g.newTicket(d.Class, w.service), nil
}

// cancel removes a waiting call and returns Wait. If the call was let run or refused in
// the meantime, it returns that verdict instead.
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

// newTicket returns the ticket of a call that starts now; estimated is its expected
// service time.
func (g *Gate) newTicket(class string, estimated time.Duration) *Ticket {
	return &Ticket{gate: g, class: class, estimated: estimated, started: g.clock.Now()}
}

// Done releases the slot of a call that has ended and records its service time if it
// was served.
func (t *Ticket) Done(result Result) {
	g := t.gate
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(now, t.class, t.estimated, now.Sub(t.started), result)
	g.dispatch()
}

// Cancel releases the slot of a call that was not sent to the upstream.
func (t *Ticket) Cancel() { t.Done(Failed) }

// dispatch sends the verdicts of the waiting calls that can run now or are refused. The
// caller holds g.mu.
func (g *Gate) dispatch() {
	now := g.clock.Now()
	for {
		w, v := g.queue.Next(now)
		if w == nil {
			return
		}
		w.verdict <- v
	}
}

// scheduleSweep starts a timer for the next sweep, unless one is running. Sweeps go on
// for as long as calls wait. The caller holds g.mu.
func (g *Gate) scheduleSweep() {
	if g.sweepScheduled {
		return
	}
	g.sweepScheduled = true
	g.clock.AfterFunc(sweepInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sweepScheduled = false
		g.dispatch()
		if g.queue.Waiting() > 0 {
			g.scheduleSweep()
		}
	})
}

// ServiceTime returns the estimated mean service time of a class.
func (g *Gate) ServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ServiceTime(class)
}

// LongestWait estimates how long a call of the lowest priority would wait.
func (g *Gate) LongestWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.LongestWait(g.clock.Now())
}

// Load returns the arrival rate of calls and the rate at which the upstream can serve
// them, both per second.
func (g *Gate) Load() (offered, capacity float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(g.clock.Now())
}

// State returns the numbers of running and waiting calls and of slots.
func (g *Gate) State() (running, waiting, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.Slots()
}
