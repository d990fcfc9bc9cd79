// Package sched is the admission queue in front of an upstream: it decides which
// calls run now, which wait and which are refused. The upstream has a fixed number
// of slots. Its calls differ in priority and deadline, its speed isn't known in
// advance, and calls may arrive at a higher rate than it can serve.
//
// Queue holds the decision logic and does no I/O. It orders calls by priority. Among
// calls of equal priority, those that can still meet their target time come first,
// in the order of their targets (earliest deadline first). A call that can't be
// served before its caller gives up is refused at once, together with the delay
// after which a retry is likely to find a free slot. Gate runs a Queue for
// concurrent callers.
//
// # Usage
//
//	gate := sched.NewGate(clock)
//	gate.Announce(18)
//	ticket, err := gate.Enter(ctx, sched.Demand{Class: "browse", Priority: 2, Target: t, GiveUp: d})
//	if err != nil {
//		return err // a *calls.Error with the outcome "not run"
//	}
//	defer ticket.Done(sched.Served)
package sched
