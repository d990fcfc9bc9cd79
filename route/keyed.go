package route

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// retryState is the state of one call across its attempts.
type retryState struct {
	call *calls.Call
	// lastErr is the error of the latest round, nil in the first one.
	lastErr *calls.Error
	// unknown is the error of an attempt that may have run. Once it is set, the
	// call must not be reported as not run, whatever later attempts return.
	unknown *calls.Error
	// target is the table entry used in the latest round.
	target table.Target
	// tried lists the members that were tried in the current round.
	tried []ident.Incarnation
	// freeLeft is the number of attempts left that do not consume the retry
	// budget.
	freeLeft int
	// backoff is the base delay before the next round.
	backoff time.Duration
	// counted is set while the call counts against the limit of waiting calls.
	counted bool
	// buffered is the number of bytes reserved for the body.
	buffered int64
	// streamed is the body when it is not buffered.
	streamed *streamedBody
}

// runKeyed runs a call at the owner of its key. When an attempt may have run,
// that attempt's error replaces a later "not run".
func (r *Router) runKeyed(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	s := retryState{call: call, backoff: firstBackoff}
	if err := r.prepareBody(&s); err != nil {
		return nil, err
	}
	defer r.waitLimiter.release(&s)
	reply, err := r.retryRounds(ctx, &s)
	switch {
	case err == nil:
		return reply, nil
	case s.unknown != nil && err.Outcome() == calls.NotRun:
		return nil, s.unknown
	}
	return nil, err
}

// retryRounds repeats tryRound with backoff until the call succeeds, fails with
// an error that cannot be retried, or exceeds its deadline.
func (r *Router) retryRounds(ctx context.Context, s *retryState) (*calls.Reply, *calls.Error) {
	for {
		reply, err := r.tryRound(ctx, s)
		if err == nil {
			return reply, nil
		}
		if !s.canRetry(err) {
			return nil, err
		}
		s.lastErr = err
		if err := r.backOff(ctx, s); err != nil {
			return nil, err
		}
	}
}

// tryRound tries the owner and, as long as the errors allow a retry, the
// members that may have replaced it. It returns the last error of the round.
func (r *Router) tryRound(ctx context.Context, s *retryState) (*calls.Reply, *calls.Error) {
	view := r.source()
	target, ok := view.Lookup(s.call.Service, s.call.Hash)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonNoOwner)
	}
	switch {
	case s.lastErr == nil:
		s.freeLeft = 1
	case target.Epoch != s.target.Epoch || target.Owner != s.target.Owner:
		s.freeLeft, s.backoff = freeAttempts, firstBackoff
	}
	s.target, s.tried = target, s.tried[:0]
	last := calls.NewNotRun(calls.ReasonNoOwner)
	for {
		to := r.nextMember(view, s, last)
		if to.IsZero() {
			return nil, last
		}
		if !r.allowAttempt(s, to == view.Self() || to == r.owners.find(target)) {
			return nil, last
		}
		s.tried = append(s.tried, to)
		reply, err := r.send(ctx, view, to, s.call)
		if err == nil {
			r.owners.add(target, to)
			return reply, nil
		}
		last = err
		if !s.canRetry(err) {
			return nil, last
		}
		if err.Outcome() == calls.Unknown {
			s.unknown = err
		}
		s.rewind()
	}
}

// allowAttempt reports whether one more attempt may be made, and charges it to
// the retry budget unless it is free. The first attempt of a call is free. A
// new owner may apply the record that makes it the owner slightly later than
// this member does, so each change of the table entry allows freeAttempts free
// attempts. Exempt attempts cost nothing either: those at this member, and
// those at the cached owner, where another call was just answered.
func (r *Router) allowAttempt(s *retryState, exempt bool) bool {
	if s.lastErr != nil || len(s.tried) > 0 {
		r.counts.retried.Inc(1)
	}
	if s.freeLeft > 0 {
		s.freeLeft--
		return true
	}
	return exempt || r.budget.spend(r.clock.Now())
}

// send makes one attempt at the given member, locally or by forwarding.
func (r *Router) send(ctx context.Context, view View, to ident.Incarnation, call *calls.Call) (*calls.Reply, *calls.Error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
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
// incarnation when there is none. The order is: the owner named in the last
// refusal, the cached owner, the owner in the table, its successors. When this
// member owns and serves the shard, it is the only candidate. Members that
// failed recently come last.
func (r *Router) nextMember(view View, s *retryState, last *calls.Error) ident.Incarnation {
	order := [5]ident.Incarnation{last.Hint(), r.owners.find(s.target), s.target.Owner,
		s.target.Successors[0], s.target.Successors[1]}
	if self := view.Self(); s.target.Owner == self {
		if _, ok := view.Serves(s.target.Shard, r.clock.Now()); ok {
			order = [5]ident.Incarnation{self}
		}
	}
	if len(s.tried) > 0 && !suggestsNewOwner(last.Reason()) && last.Hint().IsZero() {
		return ident.Incarnation{}
	}
	now := r.clock.Now()
	var fallback ident.Incarnation
	for _, inc := range order {
		if inc.IsZero() || s.hasTried(inc) {
			continue
		}
		if inc == view.Self() || !r.failed.has(inc, now) {
			return inc
		}
		if fallback.IsZero() {
			fallback = inc
		}
	}
	return fallback
}

// canRetry reports whether the call may be sent again after err. An attempt
// with an unknown outcome is repeated only for a read whose answer was withheld
// because the key was about to change owner.
func (s *retryState) canRetry(err *calls.Error) bool {
	switch {
	case !s.replayable():
		return false
	case err.Outcome() == calls.Unknown:
		return err.Reason() == calls.ReasonFenced && s.call.IsReadOnly()
	}
	return isRetryable(err.Reason())
}

// isRetryable reports whether a call refused for the reason may succeed at
// another member, or at the same one a little later.
func isRetryable(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonNoOwner, calls.ReasonNotOwner, calls.ReasonMoving, calls.ReasonFenced,
		calls.ReasonPeerDown, calls.ReasonUpstreamDown, calls.ReasonDraining:
		return true
	default:
		return false
	}
}

// suggestsNewOwner reports whether a refusal for the reason makes it likely
// that a successor has taken over the key.
func suggestsNewOwner(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonPeerDown, calls.ReasonNotOwner, calls.ReasonFenced, calls.ReasonMoving,
		calls.ReasonUpstreamDown, calls.ReasonNoOwner, calls.ReasonDraining:
		return true
	default:
		return false
	}
}

func (s *retryState) hasTried(inc ident.Incarnation) bool {
	for _, t := range s.tried {
		if t == inc {
			return true
		}
	}
	return false
}

// backOff pauses before the next round, so that a takeover or a move can
// complete, and rewinds the body. Returns an error when too many calls wait
// already, when the deadline leaves no time for another attempt, or when the
// context ends.
func (r *Router) backOff(ctx context.Context, s *retryState) *calls.Error {
	if !s.counted {
		if !r.waitLimiter.addWaiting(s) {
			r.counts.waitRefused.Inc(1)
			return withRetryAfter(s.lastErr, time.Second)
		}
		r.counts.waited.Inc(1)
	}
	pause := r.jitter(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	left := s.call.Deadline.Sub(r.clock.Now()) - answerReserve
	if left <= 0 {
		return s.lastErr
	}
	timer := r.clock.NewTimer(min(pause, left))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.lastErr
		}
		return contextError(ctx)
	}
	s.rewind()
	return nil
}

// withRetryAfter returns a copy of e that tells the caller to retry after d.
func withRetryAfter(e *calls.Error, d time.Duration) *calls.Error {
	return calls.NewNotRun(e.Reason(), calls.WithHint(e.Hint()), calls.WithRetryAfter(d), calls.WithCause(e))
}

// contextError returns the error of an attempt that was not sent because its
// context ended.
func contextError(ctx context.Context) *calls.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return calls.NewNotRun(calls.ReasonDeadline, calls.WithCause(ctx.Err()))
	}
	return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
}
