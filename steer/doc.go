// Package steer routes a call to the upstream that runs it: for a call with a key, the
// upstream of the owner of that key; for a call that any upstream of the service can
// run, the one with the shortest expected wait. It also decides which failed attempts
// are retried.
//
// A call is retried only if it certainly did not run, or if its route allows it to run
// more than once. Retries end with the deadline of the call. A retry of a call that an
// upstream may have seen also needs room in the retry budget. The budget holds for the
// whole fleet but needs no communication: each daemon allows retries in proportion to
// the calls that it sent itself.
//
// # Usage
//
//	budget := steer.NewBudget(0.2, 5, 10*time.Second)
//	router := steer.New(directory, local, remote, steer.WithBudget(budget))
//	reply, err := router.Run(ctx, call)
package steer
