// Package strain detects whether a daemon gets too little processor time to serve
// callers well. A host that is slowed down or overloaded answers all of its callers
// late; they are better served by other daemons until it recovers.
//
// The measure is how late the daemon's own timers fire: everything that waits for
// the processor waits about as long. It detects a host that has become several times
// slower for seconds, and a small host that gets more calls than it can forward.
//
// # Usage
//
//	meter := strain.New()
//	for {
//		due := clock.Now().Add(strain.SampleTime)
//		clock.Sleep(strain.SampleTime)
//		changed := meter.Sample(clock.Now(), clock.Now().Sub(due))
//	}
//	if meter.Strained() { // direct callers to other daemons
package strain
