// Package steer takes a caller's call to the upstream that should run it: the
// owner of its key, or, where any upstream of the service will do, the one with
// the shortest wait. It decides which failures are tried again.
//
// A call is tried again only if it certainly did not run, or if its route allows
// it to run more than once; only within its time; and, where an upstream has
// seen it, only within a budget that the whole fleet shares without talking: each
// daemon spends a part of the calls that it sent itself.
//
// # Usage
//
//	router := steer.New(directory, local, transport, steer.WithBudget(0.2, 5))
//	reply, err := router.Run(ctx, call)
package steer
