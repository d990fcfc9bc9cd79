package steer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// routedCall is the state of one call across its attempts.
type routedCall struct {
	router  *Router
	call    *calls.Call
	started time.Time
	// tried holds the hosts of daemons that are not to be tried again. An empty host
	// stands for this daemon as the owner of the call's key.
	tried []ident.Host
	// attempts is the number of attempts that an upstream may have seen.
	attempts int
	// lastErr is the error of the last attempt that was retried.
	lastErr *calls.Error
	// unknownErr is the error of the first attempt with an unknown outcome, which may
	// have run the call.
	unknownErr *calls.Error
	// ownerHint is the owner that the last daemon named when it refused the call.
	ownerHint ident.Host
	// errorReply is a server error of an upstream that was retried. It is returned if
	// no retry gets a better answer.
	errorReply *calls.Reply
}

// result returns the final reply or error of a call that is not retried any more. Once
// an upstream may have run the call, a later refusal does not prove that it never ran,
// so the error with the unknown outcome is returned in its place.
func (c *routedCall) result(err *calls.Error) (*calls.Reply, error) {
	switch {
	case c.errorReply != nil:
		return c.errorReply, nil
	case c.unknownErr != nil && err.Outcome() == calls.NotRun:
		return nil, c.unknownErr
	}
	return nil, err
}

// nextTarget returns the daemon to which the next attempt goes, or the error with which
// the call ends. A key whose owner is outside the regions of the route is not served.
func (c *routedCall) nextTarget(ctx context.Context) (Target, *calls.Error) {
	if !c.call.Ordered {
		return c.nextOfAny()
	}
	target, failure := c.nextOwner(ctx)
	if failure == nil && !c.call.Terms.Allows(target.Region) {
		return Target{}, calls.NewNotRun(calls.ReasonNoRegion, calls.WithRetryAfter(noOwnerRetryAfter))
	}
	return target, failure
}

// nextOfAny returns the next target of a call that any upstream of the service in the
// regions of the route can run.
func (c *routedCall) nextOfAny() (Target, *calls.Error) {
	targets := c.router.directory.Targets(c.call.Service)
	reason := calls.ReasonNoOwner
	if len(c.call.Terms.Regions) > 0 {
		targets = slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !c.call.Terms.Allows(t.Region) })
		reason = calls.ReasonNoRegion
	}
	if target, ok := c.router.pickTarget(targets, c.tried, c.call); ok {
		return target, nil
	}
	if c.lastErr != nil {
		return Target{}, c.lastErr
	}
	return Target{}, calls.NewNotRun(reason, calls.WithRetryAfter(noOwnerRetryAfter))
}

// nextOwner returns the owner of the call's key. While the key has no owner, or its
// owner has already refused the call, it waits for a change of the ownership table, up
// to ownerWaitLeft.
func (c *routedCall) nextOwner(ctx context.Context) (Target, *calls.Error) {
	r := c.router
	if target, ok := r.directory.Target(c.ownerHint); ok && c.ownerHint != "" && !c.hasTried(c.ownerHint) {
		c.ownerHint = ""
		return target, nil
	}
	for {
		changed := r.directory.Changed()
		status, host := r.directory.LookupOwner(c.call.Service, c.call.Point)
		switch status {
		case owner.KeyHeld, owner.KeyPending, owner.KeyReleasing:
			if !c.hasTried("") {
				return Target{Local: true, Region: r.region}, nil
			}
		case owner.KeyRemote:
			if target, ok := r.directory.Target(host); ok && !c.hasTried(host) {
				return target, nil
			}
		case owner.KeyUnowned:
		}
		left := c.ownerWaitLeft()
		if left <= 0 {
			if c.lastErr != nil {
				return Target{}, c.lastErr
			}
			return Target{}, calls.NewNotRun(calls.ReasonNoOwner, calls.WithRetryAfter(noOwnerRetryAfter))
		}
		r.counts.waited.Inc(1)
		timer := r.clock.NewTimer(left)
		select {
		case <-changed:
			c.tried = nil
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return Target{}, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
		}
		timer.Stop()
	}
}

// hasTried reports whether the owner of the key has already refused the call and the
// ownership table has not changed since. An empty host stands for this daemon.
func (c *routedCall) hasTried(host ident.Host) bool {
	return slices.Contains(c.tried, host)
}

// ownerWaitLeft returns how much longer the call may wait for an owner.
func (c *routedCall) ownerWaitLeft() time.Duration {
	t := c.call.Terms
	limit := min(time.Duration(ownerWaitShare*float64(t.Target)), maxOwnerWait)
	left := limit - c.router.clock.Now().Sub(c.started)
	return min(left, c.call.Deadline.Sub(c.router.clock.Now())-minTimeLeft)
}

// shouldRetry decides after an attempt whether the call is retried, and records what
// the next attempt needs.
func (c *routedCall) shouldRetry(ctx context.Context, target Target, reply *calls.Reply, err error) bool {
	r := c.router
	now := r.clock.Now()
	if err == nil {
		return c.shouldRetryReply(now, target, reply)
	}
	e := calls.AsError(err)
	if ctx.Err() != nil || c.call.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	var retry bool
	switch {
	case e.Outcome() == calls.Unknown:
		c.attempts++
		if e.Reason() == calls.ReasonPeerLost {
			r.avoid(target.Host, now)
		}
		retry = c.call.Terms.Repeatable && c.attempts < max(1, c.call.Terms.Attempts) && c.spendRetry(now)
	case e.Reason() == calls.ReasonUpstreamShed:
		c.attempts++
		retry = c.attempts < max(1, c.call.Terms.Attempts) && c.spendRetry(now)
	default:
		retry = c.shouldRetryNotRun(now, target, e)
	}
	r.log.V(1).Info("attempt failed", "request", c.call.ID, "at", string(target.Host), "local", target.Local,
		"outcome", e.Outcome().String(), "reason", string(e.Reason()), "again", retry)
	if c.unknownErr == nil && e.Outcome() == calls.Unknown {
		c.unknownErr = e
	}
	if retry {
		c.lastErr, c.ownerHint = e, e.Hint().Host
		c.recordTried(target, e)
	}
	return retry
}

// shouldRetryReply decides about an upstream's reply: a server error is retried at
// another upstream if the call may run more than once and isn't bound to the owner of
// its key.
func (c *routedCall) shouldRetryReply(now time.Time, target Target, reply *calls.Reply) bool {
	if _, whole := reply.Body.(*calls.Buffered); !whole {
		return false
	}
	if reply.Status < http.StatusInternalServerError || !c.call.Terms.Repeatable || c.call.Ordered {
		return false
	}
	c.attempts++
	if c.attempts >= c.call.Terms.Attempts || c.call.Deadline.Sub(now) < minTimeLeft || !c.spendRetry(now) {
		return false
	}
	c.errorReply = reply
	c.lastErr = calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errServerError))
	c.recordTried(target, c.lastErr)
	return true
}

// errServerError is the cause of the error of an attempt that an upstream answered with
// a server error.
var errServerError = errors.New("upstream answered with a server error (5xx)")

// shouldRetryNotRun decides about a call that no upstream has seen. A daemon that can't
// be reached or doesn't serve is avoided for a while. A call without key that was
// refused for overload is retried at one other daemon only.
func (c *routedCall) shouldRetryNotRun(now time.Time, target Target, e *calls.Error) bool {
	switch e.Reason() {
	case calls.ReasonPeerDown, calls.ReasonUpstreamDown, calls.ReasonDraining, calls.ReasonStarting:
		c.router.avoid(target.Host, now)
		return true
	case calls.ReasonNotOwner, calls.ReasonNoOwner, calls.ReasonMoving, calls.ReasonFenced:
		return true
	case calls.ReasonOverload, calls.ReasonQueueTimeout:
		return !c.call.Ordered && len(c.tried) < 1
	default:
		return false
	}
}

// spendRetry takes a retry from the budget and counts it. It returns false when the
// budget is used up.
func (c *routedCall) spendRetry(now time.Time) bool {
	if !c.router.budget.TakeRetry(now, c.call.Service) {
		c.router.counts.budgetEmpty.Inc(1)
		return false
	}
	c.router.counts.retried.Inc(1)
	return true
}

// recordTried excludes the target from the next attempts. The owner of a key is
// excluded only until the ownership table changes, since the key may have moved or its
// owner may have been lost. An owner that may have run the call is not excluded, since
// only the owner can run the retry.
func (c *routedCall) recordTried(target Target, e *calls.Error) {
	if c.call.Ordered && e.Outcome() == calls.Unknown {
		return
	}
	c.tried = append(c.tried, target.Host)
}
