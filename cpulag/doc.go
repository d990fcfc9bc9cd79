// Package cpulag detects whether a daemon gets too little processor time to serve
// callers well. A host that is slowed down or overloaded answers all of its callers
// late; they are better served by other daemons until it recovers.
//
// The measure is how late the daemon's own timers fire: everything that waits for
// the processor waits about as long. It detects a host that has become several times
// slower for seconds, and a small host that gets more calls than it can forward.
//
// # Usage
//
//	meter := cpulag.New()
//	for {
//		due := clock.Now().Add(cpulag.SampleInterval)
//		clock.Sleep(cpulag.SampleInterval)
//		changed := meter.Sample(clock.Now(), clock.Now().Sub(due))
//	}
//	if meter.Starved() { // direct callers to other daemons
package cpulag
