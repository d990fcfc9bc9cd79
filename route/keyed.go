package route

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// attempt is the state of one keyed call over its retries.
type attempt struct {
	call *calls.Call
	// last is the newest refusal.
	last *calls.Error
	// unsure is the outcome of an attempt that may have run. No later refusal
	// may say that the call has not.
	unsure *calls.Error
	// target is what the table said at the newest attempt.
	target table.Target
	// tried lists the members that refused under target.
	tried []ident.Incarnation
	// free is the number of attempts that cost no part of the retry budget.
	free    int
	backoff time.Duration
	held    bool
	bytes   int64
	touched *touchedBody
}

// runKeyed runs a call at the owner of its key.
func (r *Router) runKeyed(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	a := attempt{call: call, backoff: firstBackoff}
	if err := r.prepareBody(&a); err != nil {
		return nil, err
	}
	defer r.holder.release(&a)
	reply, err := r.tryRounds(ctx, &a)
	switch {
	case err == nil:
		return reply, nil
	case a.unsure != nil && err.Outcome() == calls.NotRun:
		return nil, a.unsure
	}
	return nil, err
}

// tryRounds tries the call round after round while there is hope.
func (r *Router) tryRounds(ctx context.Context, a *attempt) (*calls.Reply, *calls.Error) {
	for {
		reply, err := r.tryRound(ctx, a)
		if err == nil {
			return reply, nil
		}
		if !a.mayRepeat(err) {
			return nil, err
		}
		a.last = err
		if err := r.wait(ctx, a); err != nil {
			return nil, err
		}
	}
}

// tryRound tries the owner and, on proof that nothing ran, the members that
// may have replaced it. It returns the last refusal.
func (r *Router) tryRound(ctx context.Context, a *attempt) (*calls.Reply, *calls.Error) {
	view := r.source()
	target, ok := view.Lookup(a.call.Service, a.call.Hash)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonNoOwner)
	}
	switch {
	case a.last == nil:
		a.free = 1
	case target.Epoch != a.target.Epoch || target.Owner != a.target.Owner:
		a.free, a.backoff = freeAttempts, firstBackoff
	}
	a.target, a.tried = target, a.tried[:0]
	last := calls.NewNotRun(calls.ReasonNoOwner)
	for {
		to := r.nextMember(view, a, last)
		if to.IsZero() {
			return nil, last
		}
		if !r.mayTry(a, to == view.Self() || to == r.learned.find(target)) {
			return nil, last
		}
		a.tried = append(a.tried, to)
		reply, err := r.send(ctx, view, to, a.call)
		if err == nil {
			r.learned.add(target, to)
			return reply, nil
		}
		last = err
		if !a.mayRepeat(err) {
			return nil, last
		}
		if err.Outcome() == calls.Unknown {
			a.unsure = err
		}
		a.rewind()
	}
}

// mayTry reports whether the call may be tried at one more member. A new owner
// may read the record that makes it one a little later than this member does,
// so each change of the table allows a few attempts at no cost.
// Attempts at this member itself and where another call was just answered are
// without cost, too.
func (r *Router) mayTry(a *attempt, cheap bool) bool {
	if a.last != nil || len(a.tried) > 0 {
		r.counts.retried.Inc(1)
	}
	if a.free > 0 {
		a.free--
		return true
	}
	return cheap || r.budget.spend(r.clock.Now())
}

// send runs the call at one member.
func (r *Router) send(ctx context.Context, view View, to ident.Incarnation, call *calls.Call) (*calls.Reply, *calls.Error) {
	if ctx.Err() != nil {
		return nil, endError(ctx)
	}
	if to == view.Self() {
		reply, err := r.local.Run(ctx, call)
		if err != nil {
			return nil, calls.AsError(err)
		}
		return reply, nil
	}
	member, ok := view.Member(to)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonPeerDown)
	}
	reply, err := r.forward(ctx, member, call)
	if err != nil {
		return nil, calls.AsError(err)
	}
	return reply, nil
}

// nextMember returns the next member to try in this round, or the zero
// incarnation. Members that failed a moment ago come last.
func (r *Router) nextMember(view View, a *attempt, last *calls.Error) ident.Incarnation {
	order := [5]ident.Incarnation{last.Hint(), r.learned.find(a.target), a.target.Owner,
		a.target.Successors[0], a.target.Successors[1]}
	if self := view.Self(); a.target.Owner == self {
		if _, ok := view.Serves(a.target.Shard, r.clock.Now()); ok {
			order = [5]ident.Incarnation{self}
		}
	}
	if len(a.tried) > 0 && !mayHaveMoved(last.Reason()) && last.Hint().IsZero() {
		return ident.Incarnation{}
	}
	now := r.clock.Now()
	var second ident.Incarnation
	for _, inc := range order {
		if inc.IsZero() || a.hasTried(inc) {
			continue
		}
		if inc == view.Self() || !r.failed.has(inc, now) {
			return inc
		}
		if second.IsZero() {
			second = inc
		}
	}
	return second
}

// mayRepeat reports whether the call may be sent again after an outcome. One
// that reads only is repeated when its answer was held back because the key was
// about to change hands.
func (a *attempt) mayRepeat(err *calls.Error) bool {
	switch {
	case !a.replayable():
		return false
	case err.Outcome() == calls.Unknown:
		return err.Reason() == calls.ReasonFenced && a.call.IsReadOnly()
	}
	return isRetryable(err.Reason())
}

// isRetryable reports whether another member, or the same one a little later,
// may run a call that was refused for the reason.
func isRetryable(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonNoOwner, calls.ReasonNotOwner, calls.ReasonMoving, calls.ReasonFenced,
		calls.ReasonPeerDown, calls.ReasonUpstreamDown, calls.ReasonDraining:
		return true
	default:
		return false
	}
}

// mayHaveMoved reports whether the refusal suggests that a successor owns the
// key by now.
func mayHaveMoved(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonPeerDown, calls.ReasonNotOwner, calls.ReasonFenced, calls.ReasonMoving,
		calls.ReasonUpstreamDown, calls.ReasonNoOwner, calls.ReasonDraining:
		return true
	default:
		return false
	}
}

func (a *attempt) hasTried(inc ident.Incarnation) bool {
	for _, t := range a.tried {
		if t == inc {
			return true
		}
	}
	return false
}

// wait lets a takeover or a move go on for a moment.
func (r *Router) wait(ctx context.Context, a *attempt) *calls.Error {
	if !a.held {
		if !r.holder.hold(a) {
			r.counts.refused.Inc(1)
			return withRetryAfter(a.last, time.Second)
		}
		r.counts.waited.Inc(1)
	}
	pause := r.jitter(a.backoff)
	a.backoff = min(2*a.backoff, maxBackoff)
	left := a.call.Deadline.Sub(r.clock.Now()) - answerReserve
	if left <= 0 {
		return a.last
	}
	timer := r.clock.NewTimer(min(pause, left))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return a.last
		}
		return endError(ctx)
	}
	a.rewind()
	return nil
}

// withRetryAfter returns e with a retry hint.
func withRetryAfter(e *calls.Error, d time.Duration) *calls.Error {
	return calls.NewNotRun(e.Reason(), calls.WithHint(e.Hint()), calls.WithRetryAfter(d), calls.WithCause(e))
}

// endError returns the outcome of a call that was never sent because its
// context ended.
func endError(ctx context.Context) *calls.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return calls.NewNotRun(calls.ReasonDeadline, calls.WithCause(ctx.Err()))
	}
	return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
}
