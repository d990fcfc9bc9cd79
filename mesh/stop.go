package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// stopPollInterval is the time between two checks whether the node has released its
// keys.
const stopPollInterval = 25 * time.Millisecond

// Stop makes the node hand over its keys and informs other daemons that it is stopping.
// It returns when the node owns no keys, or with an error when ctx ends first.
func (n *Node) Stop(ctx context.Context) error {
	n.ready.Store(false)
	n.mu.Lock()
	n.stopping = true
	if n.machine != nil {
		n.machine.Stop(n.clock.Now())
	}
	n.mu.Unlock()
	n.log.Info("stopping")
	n.broadcastState()
	n.requestReconcile()
	for !n.hasReleasedKeys() {
		timer := n.clock.NewTimer(stopPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("hand over keys: %w", ctx.Err())
		case <-timer.Chan():
		}
	}
	return nil
}

// hasReleasedKeys reports whether the node owns no keys, as far as it has read the
// ownership table.
func (n *Node) hasReleasedKeys() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine == nil || n.machine.Left() || !n.machine.Known()
}

// callLimits bounds the calls of a daemon that is about to end.
type callLimits struct {
	// openUntil is when the daemon stops starting calls whose deadline is after answerBy.
	openUntil time.Time
	// answerBy is when all calls must have been answered.
	answerBy time.Time
}

// LimitCalls bounds the calls of a daemon that ends shortly after answerBy, whether they
// come from its own callers or are forwarded by other daemons. Until openUntil every call
// is started; from then on, one whose deadline is after answerBy is refused as not run, since
// the end of the daemon could cut it off. The calls of its own callers also get answerBy as
// their deadline.
func (n *Node) LimitCalls(openUntil, answerBy time.Time) {
	n.callLimits.Store(&callLimits{openUntil: openUntil, answerBy: answerBy})
}

// refuseUnfinishable returns the error for a call that must not start any more, since the
// daemon may end before the call does, and nil for any other call.
func (n *Node) refuseUnfinishable(now time.Time, call *calls.Call) *calls.Error {
	l := n.callLimits.Load()
	if l == nil || now.Before(l.openUntil) || call.Deadline.Before(l.answerBy) {
		return nil
	}
	return calls.NewNotRun(calls.ReasonDraining, calls.WithRetryAfter(max(moveRetryAfter, l.answerBy.Sub(now))))
}

// limitDeadline shortens the deadline of a call to the end of the daemon, if it is
// stopping.
func (n *Node) limitDeadline(call *calls.Call) {
	if l := n.callLimits.Load(); l != nil && l.answerBy.Before(call.Deadline) {
		call.Deadline = l.answerBy
	}
}

// Drain refuses the calls that other daemons send from now on, and waits until the answers
// to those in flight have been sent. It returns an error when ctx ends first.
func (n *Node) Drain(ctx context.Context) error {
	if err := n.web.Shutdown(ctx); err != nil {
		return fmt.Errorf("finish forwarded calls: %w", err)
	}
	return nil
}

// Idle reports whether no call runs at the upstream or waits for it.
func (n *Node) Idle() bool {
	running, waiting, _ := n.gate.State()
	return running == 0 && waiting == 0
}
