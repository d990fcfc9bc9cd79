package mesh

import (
	"context"
	"time"

	"github.com/monsoonmoor/monsoonmoor/holds"
)

const (
	// grantTimeout bounds a call that grants keys: an upstream answers it at once.
	grantTimeout = 300 * time.Millisecond
	// releaseTimeout bounds a call that takes keys back, which is answered when the
	// running requests have ended. The call is repeated after that.
	releaseTimeout = 1200 * time.Millisecond
)

// KeyCalls grants keys to the upstream with the given id, and takes them back, by
// calls to it. The error says why the outcome is not holds.Accepted.
type KeyCalls interface {
	// Grant grants a range for the given time, counted from the arrival of the call.
	// The outcome holds.Unsent with an error means that the upstream has ended.
	Grant(ctx context.Context, upstream string, r holds.Range, hold time.Duration) (holds.Outcome, error)
	// Release takes a range back and returns the handover token for its next owner.
	Release(ctx context.Context, upstream string, r holds.Range) (token string, outcome holds.Outcome, err error)
}

// runCommand makes one call to the given life of the upstream and reports its outcome to the owner state
// machine.
func (n *Node) runCommand(upstream lifeKey, cmd holds.Command) {
	timeout := grantTimeout
	if cmd.Kind == holds.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	timer := n.clock.AfterFunc(timeout, cancel)
	defer timer.Stop()
	var token string
	var outcome holds.Outcome
	var err error
	hold := cmd.Hold - n.clock.Now().Sub(cmd.Issued)
	switch {
	case cmd.Kind == holds.Release:
		token, outcome, err = n.ports.Keys.Release(ctx, upstream.id, cmd.Range)
	case hold <= 0:
		outcome = holds.Unsent
	default:
		outcome, err = n.ports.Keys.Grant(ctx, upstream.id, cmd.Range, hold)
	}
	if err != nil {
		n.log.Info("call to the upstream failed", "command", cmd.Kind.String(), "span", cmd.Range.Span.String(),
			"fence", uint64(cmd.Range.Fence), "outcome", outcome.String(), "err", err.Error())
	}
	n.metrics.commands[outcome].Inc(1)
	n.mu.Lock()
	now := n.clock.Now()
	if n.upstream.key() == upstream {
		n.machine.RecordCommand(now, cmd, outcome, token)
		n.notify()
	}
	n.mu.Unlock()
	switch {
	case outcome == holds.Unsent && err != nil:
		n.handleUpstreamEnded(upstream)
	case outcome == holds.Unanswered:
		n.requestProbe()
	}
	if !cmd.Renewal || outcome != holds.Accepted {
		n.requestReconcile()
	}
}
