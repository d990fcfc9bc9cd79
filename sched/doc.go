// Package sched decides which calls run at an upstream now, which wait and which
// are refused. It answers the load of an upstream with a fixed number of slots,
// whose calls differ in rank and in the time in which an answer is worth most,
// whose speed is not known beforehand, and for which more calls may arrive than
// it can serve.
//
// Queue is the pure decision code. Calls of a better rank go first; among equals
// those that can still be answered within their target go before the others, and
// the one whose target is nearest goes first. A call that can't be served before
// it is given up is refused at once, with the time after which there should be
// room. Gate runs a Queue for concurrent callers.
//
// # Usage
//
//	gate := sched.NewGate(clock)
//	gate.Announce(18)
//	ticket, err := gate.Enter(ctx, sched.Demand{Class: "browse", Priority: 2, Target: t, GiveUp: d})
//	if err != nil {
//		return err // a *calls.Error that says "not run"
//	}
//	defer ticket.Done(sched.Served)
package sched
