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
	// maxMoveWait is how long a call waits at the owner for its key to be granted or
	// handed over.
	maxMoveWait = 500 * time.Millisecond
	// moveRetryAfter is the time after which a caller may retry whose key is being
	// handed over.
	moveRetryAfter = 200 * time.Millisecond
	// laterAttemptSpent is the time since the caller's first attempt above which a call
	// counts as a later attempt.
	laterAttemptSpent = 50 * time.Millisecond
	// returnMargin is reserved for sending the answer back to the caller.
	returnMargin = 15 * time.Millisecond
	// drainMargin is how long before the end of the drain a leaving upstream gets its
	// last call.
	drainMargin = 400 * time.Millisecond
)

// localExecutor runs calls at the upstream beside the daemon.
type localExecutor struct{ node *Node }

var _ calls.Executor = (*localExecutor)(nil)

// Run implements calls.Executor.
func (l *localExecutor) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	n := l.node
	if call.Service != n.settings.Service {
		return nil, calls.NewNotRun(calls.ReasonUpstreamDown)
	}
	if call.Ordered {
		n.upstreamKeyRates.Touch(call.Point)
	}
	begun := n.clock.Now()
	for {
		instance, failure := l.awaitKey(ctx, call, begun)
		if failure != nil {
			return nil, failure
		}
		ticket, err := n.gate.Enter(ctx, demandOf(call, n.clock.Now()))
		if err != nil {
			l.logRefusal(call, err)
			return nil, err
		}
		if !l.isStillHere(call, instance) {
			// The key was moved, or the upstream restarted, while the call waited in
			// the queue.
			ticket.Cancel()
			continue
		}
		reply, err := n.runAtUpstream(ctx, call, instance)
		ticket.Done(resultOf(reply, err))
		return reply, err
	}
}

// logRefusal logs a call that was refused admission, with the state of the queue.
func (l *localExecutor) logRefusal(call *calls.Call, err error) {
	n := l.node
	e := calls.AsError(err)
	running, waiting, slots := n.gate.State()
	n.log.Info("turned away", "request", call.ID, "reason", string(e.Reason()), "running", running, "waiting", waiting,
		"slots", slots, "wait", n.gate.LongestWait().Round(time.Millisecond).String(),
		"left", call.Deadline.Sub(n.clock.Now()).Round(time.Millisecond).String(),
		"retry_after", e.RetryAfter().Round(time.Millisecond).String())
}

// demandOf returns the scheduling parameters of a call.
func demandOf(call *calls.Call, now time.Time) sched.Demand {
	target := now.Add(call.Terms.Target - call.Terms.Spent)
	return sched.Demand{
		Class: call.Terms.Route, Priority: call.Terms.Priority,
		Target: target, GiveUp: call.Deadline,
	}
}

// resultOf classifies the outcome of a call for the admission gate.
func resultOf(reply *calls.Reply, err error) sched.Result {
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		return sched.Served
	case err != nil && calls.AsError(err).Reason() == calls.ReasonUpstreamShed:
		return sched.Shed
	}
	return sched.Failed
}

// awaitKey waits until the upstream may run the call, and returns the id of the
// upstream's life that may run it.
func (l *localExecutor) awaitKey(ctx context.Context, call *calls.Call, begun time.Time) (string, *calls.Error) {
	n := l.node
	for {
		n.mu.Lock()
		changed := n.changed
		now := n.clock.Now()
		status, host, instance, failure := l.locate(now, call)
		n.mu.Unlock()
		switch {
		case failure != nil:
			return "", failure
		case status == owner.KeyHeld:
			return instance, nil
		case status == owner.KeyRemote || status == owner.KeyUnowned:
			return "", calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(ident.NewIncarnation(host, 0)))
		}
		left := min(maxMoveWait-now.Sub(begun), n.keyWaitLeft(call, begun, now))
		if left <= 0 {
			return "", calls.NewNotRun(calls.ReasonMoving, calls.WithRetryAfter(moveRetryAfter))
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

// keyWaitLeft returns how much longer a call may wait for its key. A first attempt
// waits while it can still be answered within its target, and at least an eighth of the
// target: its caller can retry. A later attempt gains nothing from another retry, so it
// waits as long as it can be answered before its deadline.
func (n *Node) keyWaitLeft(call *calls.Call, begun, now time.Time) time.Duration {
	service := n.gate.ServiceTime(call.Terms.Route)
	last := call.Deadline.Sub(now) - service - returnMargin
	if call.Terms.Spent > laterAttemptSpent {
		return last
	}
	target := begun.Add(max(call.Terms.Target-service, call.Terms.Target/8))
	return min(target.Sub(now), last)
}

// locate returns where the call can run now. It is called with mu held.
func (l *localExecutor) locate(now time.Time, call *calls.Call) (owner.KeyStatus, ident.Host, string, *calls.Error) {
	n := l.node
	if refusal := n.refuseUnfinishable(now, call); refusal != nil {
		return 0, "", "", refusal
	}
	d := &n.upstream
	grace := n.settings.Drain - drainMargin
	if !call.Ordered {
		grace = min(leavingGrace, grace)
	}
	if d.leaving && now.Sub(d.leftAt) > grace {
		return 0, "", "", calls.NewNotRun(calls.ReasonDraining)
	}
	if d.evacuated && now.Sub(d.evacuatedAt) > n.evacuationGrace(call.Ordered) {
		return 0, "", "", calls.NewNotRun(calls.ReasonDraining)
	}
	if !call.Ordered {
		if !d.present {
			return 0, "", "", calls.NewNotRun(calls.ReasonUpstreamDown)
		}
		return owner.KeyHeld, "", d.id, nil
	}
	if n.machine == nil {
		return 0, "", "", calls.NewNotRun(calls.ReasonStarting)
	}
	status, host := n.machine.Locate(now, call.Point)
	return status, host, d.id, nil
}

// leavingGrace is how long a leaving upstream still accepts calls that any upstream of
// the service may run: other daemons need that long to learn that it leaves.
const leavingGrace = 300 * time.Millisecond

// isStillHere reports whether the same life of the upstream may still run the call.
func (l *localExecutor) isStillHere(call *calls.Call, instance string) bool {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	status, _, now, failure := l.locate(n.clock.Now(), call)
	return failure == nil && status == owner.KeyHeld && now == instance
}

// peerHandler serves the requests of other daemons.
type peerHandler struct{ node *Node }

// Run implements calls.Executor.
func (p *peerHandler) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return (&localExecutor{node: p.node}).Run(ctx, call)
}

// Document implements peers.WebHandler.
func (p *peerHandler) Document(name string) (data []byte, version uint64, ok bool) {
	n := p.node
	if name == configDocument {
		raw := n.configRaw.Load()
		if raw == nil {
			return nil, 0, false
		}
		return raw.data, raw.version, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if name == evacuationDocument {
		return n.encodedEvacuations()
	}
	for service, t := range n.tables {
		if topicOf(service) == name && t.encoded.version > 0 {
			return t.encoded.data, t.encoded.version, true
		}
	}
	return nil, 0, false
}

// ExpectedWait implements peers.WebHandler.
func (p *peerHandler) ExpectedWait() time.Duration { return p.node.expectedWait() }
