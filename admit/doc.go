// Package admit implements admission control for an upstream: it decides which
// requests run, which are queued and which are refused, and measures the
// resulting load.
//
// Policy makes the decisions. It has no lock, no goroutine and no clock of its
// own. Gate applies a Policy to concurrent requests. Meter measures the request
// rate of a member and passes each request to a hotkey.Tracker, which keeps the
// rate of each slot and its hottest keys in bounded memory.
//
// # Usage
//
//	gate := admit.New(admit.WithClock(clock))
//	gate.Announce(20, false)
//	ticket, err := gate.Acquire(ctx, call.Hash, call.Deadline)
//	if err != nil {
//		return err // a *calls.Error that says "not run"
//	}
//	defer ticket.Done(admit.Served, serviceTime)
//
// # Policy
//
// The concurrency limit never exceeds the number of slots that the upstream
// announced. It falls when the measured service time grows well above its
// baseline or when the upstream refuses a request, and it rises slowly from a
// low value for a cold upstream. Requests above the limit are queued by key
// (fair queueing): each key has its own queue, and the queues are served in
// round-robin order. When the total capacity is used up, the newest request of
// the longest queue is evicted. A request that is not expected to be answered
// before its deadline is refused at once.
package admit
