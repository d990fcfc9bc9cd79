package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/sched"
)

const (
	// moveWait is how long a call waits at the owner for its key to be granted or
	// handed over.
	moveWait = 500 * time.Millisecond
	// moveRetry is when a caller should come back whose key is being handed over.
	moveRetry = 200 * time.Millisecond
	// laterAttempt is the time that a caller has spent from which its call counts
	// as a later attempt.
	laterAttempt = 50 * time.Millisecond
	// answerMargin is kept for the way of an answer back to the caller.
	answerMargin = 15 * time.Millisecond
	// drainMargin is how long before the end of the drain an upstream that leaves
	// gets its last call.
	drainMargin = 400 * time.Millisecond
)

// local runs calls at the upstream beside the daemon.
type local struct{ node *Node }

var _ calls.Executor = (*local)(nil)

// Run implements calls.Executor.
func (l *local) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	n := l.node
	if call.Service != n.settings.Service {
		return nil, calls.NewNotRun(calls.ReasonUpstreamDown)
	}
	if call.Ordered {
		n.heat.Touch(call.Point)
	}
	begun := n.clock.Now()
	for {
		instance, failure := l.await(ctx, call, begun)
		if failure != nil {
			return nil, failure
		}
		ticket, err := n.gate.Enter(ctx, demand(call, n.clock.Now()))
		if err != nil {
			l.logRefusal(call, err)
			return nil, err
		}
		if !l.isHere(call, instance) {
			// The key, or the upstream, went away while the call waited.
			ticket.Cancel()
			continue
		}
		reply, err := n.fly(ctx, call, instance)
		ticket.Done(resultOf(reply, err))
		return reply, err
	}
}

// logRefusal says what the queue was like that turned a call away.
func (l *local) logRefusal(call *calls.Call, err error) {
	n := l.node
	e := calls.AsError(err)
	running, waiting, slots := n.gate.State()
	n.log.Info("turned away", "request", call.ID, "reason", string(e.Reason()), "running", running, "waiting", waiting,
		"slots", slots, "wait", n.gate.Wait().Round(time.Millisecond).String(),
		"left", call.Deadline.Sub(n.clock.Now()).Round(time.Millisecond).String(),
		"retry_after", e.RetryAfter().Round(time.Millisecond).String())
}

// demand says what a call asks of the upstream.
func demand(call *calls.Call, now time.Time) sched.Demand {
	target := now.Add(call.Terms.Target - call.Terms.Spent)
	return sched.Demand{
		Class: call.Terms.Route, Priority: call.Terms.Priority,
		Target: target, GiveUp: call.Deadline,
	}
}

// resultOf tells how a call that ran has ended.
func resultOf(reply *calls.Reply, err error) sched.Result {
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		return sched.Served
	case err != nil && calls.AsError(err).Reason() == calls.ReasonUpstreamShed:
		return sched.Shed
	}
	return sched.Failed
}

// await waits until the upstream may run the call, and returns its life.
func (l *local) await(ctx context.Context, call *calls.Call, begun time.Time) (string, *calls.Error) {
	n := l.node
	for {
		n.mu.Lock()
		changed := n.changed
		now := n.clock.Now()
		place, host, instance, failure := l.look(now, call)
		n.mu.Unlock()
		switch {
		case failure != nil:
			return "", failure
		case place == owner.Here:
			return instance, nil
		case place == owner.Elsewhere || place == owner.Nowhere:
			return "", calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(ident.NewIncarnation(host, 0)))
		}
		left := min(moveWait-now.Sub(begun), n.patience(call, begun, now))
		if left <= 0 {
			return "", calls.NewNotRun(calls.ReasonMoving, calls.WithRetryAfter(moveRetry))
		}
		timer := n.clock.NewTimer(left)
		select {
		case <-changed:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return "", calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
		}
		timer.Stop()
	}
}

// patience returns how much longer a call may wait for its key. A first attempt
// waits while it can still be answered within its target, and for a short while
// in any case: its caller can come back. For a later one there is nothing to come
// back for, so it waits while it can be answered at all.
func (n *Node) patience(call *calls.Call, begun, now time.Time) time.Duration {
	service := n.gate.Service(call.Terms.Route)
	last := call.Deadline.Sub(now) - service - answerMargin
	if call.Terms.Spent > laterAttempt {
		return last
	}
	target := begun.Add(max(call.Terms.Target-service, call.Terms.Target/8))
	return min(target.Sub(now), last)
}

// look returns where the call can run now. It is called with mu held.
func (l *local) look(now time.Time, call *calls.Call) (owner.Place, ident.Host, string, *calls.Error) {
	n := l.node
	d := &n.desk
	if d.leaving && now.Sub(d.left) > n.settings.Drain-drainMargin {
		return 0, "", "", calls.NewNotRun(calls.ReasonDraining)
	}
	if !call.Ordered {
		switch {
		case !d.present:
			return 0, "", "", calls.NewNotRun(calls.ReasonUpstreamDown)
		case d.leaving && now.Sub(d.left) > leaveGrace:
			return 0, "", "", calls.NewNotRun(calls.ReasonDraining)
		}
		return owner.Here, "", d.id, nil
	}
	if n.machine == nil {
		return 0, "", "", calls.NewNotRun(calls.ReasonStarting)
	}
	place, host := n.machine.Where(now, call.Point)
	return place, host, d.id, nil
}

// leaveGrace is how long an upstream that leaves still takes calls of any key:
// other daemons need that long to hear of it.
const leaveGrace = 300 * time.Millisecond

// isHere reports whether the same life of the upstream may still run the call.
func (l *local) isHere(call *calls.Call, instance string) bool {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	place, _, now, failure := l.look(n.clock.Now(), call)
	return failure == nil && place == owner.Here && now == instance
}

// peerSide serves what other daemons ask of this one.
type peerSide struct{ node *Node }

// Run implements calls.Executor.
func (p *peerSide) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return (&local{node: p.node}).Run(ctx, call)
}

// Document implements peers.WebHandler.
func (p *peerSide) Document(name string) (data []byte, version uint64, ok bool) {
	n := p.node
	if name == configDoc {
		raw := n.configRaw.Load()
		if raw == nil {
			return nil, 0, false
		}
		return raw.data, raw.version, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for service, t := range n.tables {
		if topicOf(service) == name && t.raw.version > 0 {
			return t.raw.data, t.raw.version, true
		}
	}
	return nil, 0, false
}

// Wait implements peers.WebHandler.
func (p *peerSide) Wait() time.Duration { return p.node.wait() }
