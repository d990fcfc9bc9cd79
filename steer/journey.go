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

// journey is one call on its way.
type journey struct {
	router *Router
	call   *calls.Call
	begun  time.Time
	tried  []ident.Host
	// seen is the number of upstreams that may have seen the call.
	seen int
	last *calls.Error
	// unsure is the first attempt that may have run the call.
	unsure *calls.Error
	// hint is the owner that the last daemon named when it turned the call away.
	hint ident.Host
	// answer is an upstream's failure that was worth another try. It is returned
	// if nothing better comes.
	answer *calls.Reply
}

// end returns what becomes of a call that is given up. Once an upstream may have
// run the call, a later refusal does not prove that it never ran.
func (j *journey) end(err *calls.Error) (*calls.Reply, error) {
	switch {
	case j.answer != nil:
		return j.answer, nil
	case j.unsure != nil && err.Outcome() == calls.NotRun:
		return nil, j.unsure
	}
	return nil, err
}

// next returns the daemon that the call should go to now.
func (j *journey) next(ctx context.Context) (Target, *calls.Error) {
	if j.call.Ordered {
		return j.nextOwner(ctx)
	}
	targets := j.router.directory.Targets(j.call.Service)
	if target, ok := j.router.pick(targets, j.tried, j.call); ok {
		return target, nil
	}
	if j.last != nil {
		return Target{}, j.last
	}
	return Target{}, calls.NewNotRun(calls.ReasonNoOwner, calls.WithRetryAfter(ownerRetry))
}

// nextOwner returns the owner of the call's key, and waits for one for a while.
func (j *journey) nextOwner(ctx context.Context) (Target, *calls.Error) {
	r := j.router
	if target, ok := r.directory.Target(j.hint); ok && j.hint != "" && !j.isStuck(j.hint) {
		j.hint = ""
		return target, nil
	}
	for {
		changed := r.directory.Changed()
		place, host := r.directory.Where(j.call.Service, j.call.Point)
		switch place {
		case owner.Here, owner.Soon, owner.Leaving:
			if !j.isStuck("") {
				return Target{Local: true}, nil
			}
		case owner.Elsewhere:
			if target, ok := r.directory.Target(host); ok && !j.isStuck(host) {
				return target, nil
			}
		case owner.Nowhere:
		}
		left := j.patience()
		if left <= 0 {
			if j.last != nil {
				return Target{}, j.last
			}
			return Target{}, calls.NewNotRun(calls.ReasonNoOwner, calls.WithRetryAfter(ownerRetry))
		}
		r.counts.waited.Inc(1)
		timer := r.clock.NewTimer(left)
		select {
		case <-changed:
			j.tried = nil
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return Target{}, calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
		}
		timer.Stop()
	}
}

// isStuck reports whether the owner, this daemon if the host is empty, has turned
// the call away already and nothing has changed since.
func (j *journey) isStuck(host ident.Host) bool {
	return slices.Contains(j.tried, host)
}

// patience returns how much longer the call may wait for an owner.
func (j *journey) patience() time.Duration {
	t := j.call.Terms
	most := min(time.Duration(patienceShare*float64(t.Target)), maxPatience)
	left := most - j.router.clock.Now().Sub(j.begun)
	return min(left, j.call.Deadline.Sub(j.router.clock.Now())-leastLeft)
}

// judge decides whether the call is tried again.
func (j *journey) judge(ctx context.Context, target Target, reply *calls.Reply, err error) bool {
	r := j.router
	now := r.clock.Now()
	if err == nil {
		return j.judgeAnswer(now, target, reply)
	}
	e := calls.AsError(err)
	if ctx.Err() != nil || j.call.Deadline.Sub(now) < leastLeft {
		return false
	}
	var again bool
	switch {
	case e.Outcome() == calls.Unknown:
		j.seen++
		if e.Reason() == calls.ReasonPeerLost {
			r.shun(target.Host, now)
		}
		again = j.call.Terms.Repeatable && j.seen < max(1, j.call.Terms.Attempts) && j.spend(now)
	case e.Reason() == calls.ReasonUpstreamShed:
		j.seen++
		again = j.seen < max(1, j.call.Terms.Attempts) && j.spend(now)
	default:
		again = j.judgeUnsent(now, target, e)
	}
	r.log.V(1).Info("attempt failed", "request", j.call.ID, "at", string(target.Host), "local", target.Local,
		"outcome", e.Outcome().String(), "reason", string(e.Reason()), "again", again)
	if j.unsure == nil && e.Outcome() == calls.Unknown {
		j.unsure = e
	}
	if again {
		j.last, j.hint = e, e.Hint().Host
		j.mark(target, e)
	}
	return again
}

// judgeAnswer decides about an upstream's answer: a failure of a call that may
// run twice is worth another try elsewhere.
func (j *journey) judgeAnswer(now time.Time, target Target, reply *calls.Reply) bool {
	if _, whole := reply.Body.(*calls.Buffered); !whole {
		return false
	}
	if reply.Status < http.StatusInternalServerError || !j.call.Terms.Repeatable || j.call.Ordered {
		return false
	}
	j.seen++
	if j.seen >= j.call.Terms.Attempts || j.call.Deadline.Sub(now) < leastLeft || !j.spend(now) {
		return false
	}
	j.answer = reply
	j.last = calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errFailed))
	j.mark(target, j.last)
	return true
}

// errFailed is the cause of a call that an upstream answered with a failure.
var errFailed = errors.New("upstream answered with a failure")

// judgeUnsent decides about a call that no upstream has seen.
func (j *journey) judgeUnsent(now time.Time, target Target, e *calls.Error) bool {
	switch e.Reason() {
	case calls.ReasonPeerDown, calls.ReasonUpstreamDown, calls.ReasonDraining, calls.ReasonStarting:
		j.router.shun(target.Host, now)
		return true
	case calls.ReasonNotOwner, calls.ReasonNoOwner, calls.ReasonMoving, calls.ReasonFenced:
		return true
	case calls.ReasonOverload, calls.ReasonQueueTimeout:
		return !j.call.Ordered && len(j.tried) < 1
	default:
		return false
	}
}

// spend takes a repeated sending from the budget.
func (j *journey) spend(now time.Time) bool {
	if !j.router.budget.Spend(now, j.call.Service) {
		j.router.counts.broke.Inc(1)
		return false
	}
	j.router.counts.again.Inc(1)
	return true
}

// mark remembers where the call has been. The owner of a key that has moved, or
// was lost, is asked again once the table has changed.
func (j *journey) mark(target Target, e *calls.Error) {
	if j.call.Ordered && e.Outcome() == calls.Unknown {
		return
	}
	j.tried = append(j.tried, target.Host)
}
