package route

import (
	"context"
	"io"
	"sync"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// maxUnkeyedAttempts is the maximum number of members at which one call without
// a key is tried.
const maxUnkeyedAttempts = 3

// runUnkeyed runs a call that any member of its service can run. Each attempt
// after the first consumes the retry budget.
func (r *Router) runUnkeyed(ctx context.Context, view View, call *calls.Call) (*calls.Reply, error) {
	members := view.Members(call.Service)
	if len(members) == 0 {
		return nil, calls.NewNotRun(calls.ReasonNoOwner)
	}
	s := retryState{call: call}
	if err := r.prepareBody(&s); err != nil {
		return nil, err
	}
	defer r.waitLimiter.release(&s)
	last := calls.NewNotRun(calls.ReasonNoOwner)
	for n := range maxUnkeyedAttempts {
		to := r.chooseMember(view.Self(), members, &s)
		if to < 0 || (n > 0 && !r.budget.spend(r.clock.Now())) {
			return nil, last
		}
		inc := members[to].Inc
		s.tried = append(s.tried, inc)
		reply, err := r.sendTracked(ctx, view, inc, call)
		if err == nil {
			return reply, nil
		}
		last = err
		if err.Outcome() != calls.NotRun || !isUnkeyedRetryable(err.Reason()) || !s.replayable() {
			return nil, last
		}
		r.counts.retried.Inc(1)
		s.rewind()
	}
	return nil, last
}

// isUnkeyedRetryable is isRetryable for calls without a key. It also allows a
// retry after an overload, since another member may have capacity.
func isUnkeyedRetryable(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonOverload, calls.ReasonUpstreamShed:
		return true
	default:
		return isRetryable(reason)
	}
}

// chooseMember returns the index of the least loaded of two randomly drawn
// members and this member, which wins ties. Members that failed recently are
// drawn only when no other is left. Returns -1 when all members have been
// tried.
func (r *Router) chooseMember(self ident.Incarnation, members []table.Member, s *retryState) int {
	now := r.clock.Now()
	candidates := make([]int, 0, len(members))
	var recentlyFailed []int
	local := -1
	for i := range members {
		inc := members[i].Inc
		switch {
		case s.hasTried(inc):
		case inc == self:
			local = i
		case r.failed.has(inc, now):
			recentlyFailed = append(recentlyFailed, i)
		default:
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 && local < 0 {
		candidates = recentlyFailed
	}
	best := local
	if len(candidates) > 0 {
		best = r.lessLoaded(members, best, candidates[r.randomIndex(len(candidates))])
		best = r.lessLoaded(members, best, candidates[r.randomIndex(len(candidates))])
	}
	return best
}

// lessLoaded returns the index of the member with fewer calls in flight, or a
// when they have equally many. A negative a stands for no member.
func (r *Router) lessLoaded(members []table.Member, a, b int) int {
	if a < 0 {
		return b
	}
	if r.inFlight.get(members[b].Inc) < r.inFlight.get(members[a].Inc) {
		return b
	}
	return a
}

// sendTracked sends a call and counts it as in flight until its answer's body
// is closed.
func (r *Router) sendTracked(ctx context.Context, view View, to ident.Incarnation, call *calls.Call) (*calls.Reply, *calls.Error) {
	r.inFlight.add(to, 1)
	reply, err := r.send(ctx, view, to, call)
	if err != nil {
		r.inFlight.add(to, -1)
		return nil, err
	}
	reply.Body = &trackedBody{ReadCloser: reply.Body, onClose: func() { r.inFlight.add(to, -1) }}
	return reply, nil
}

// trackedBody calls onClose when it is closed for the first time.
type trackedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}
