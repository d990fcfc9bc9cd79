// Package route selects the member that runs a call: the owner of its key, or
// a lightly loaded member when the service is not partitioned by key. Calls
// for this member run locally. All others are forwarded, and the receiving
// daemon does not forward them again.
//
// A write is retried only when the previous attempt provably did not run, and
// only within the call's deadline and a retry budget. A read is also retried
// when its answer was withheld because the key was changing owner. While a
// key's owner is being replaced, a limited number of calls wait for the new
// owner.
//
// # Usage
//
//	router := route.New(source, upstream, transport, route.WithClock(clock))
//	reply, err := router.Run(ctx, call)
package route
