// Package holds tracks the key ranges that an upstream holds when the daemon
// beside it grants and releases them by calls.
//
// Each grant has a duration, counted by the upstream from the arrival of the
// call, so the daemon knows two bounds of its end: the earliest, counted from
// when the call was sent, up to which requests may be sent to the upstream, and
// the latest, counted from when the call ended, before which the range must not
// be granted to another upstream.
//
// # Rules
//
//   - A grant without an answer may take effect at any time before its duration
//     is over, counted from its arrival, even after a release was answered. A
//     range counts as free only after the latest end of each such grant.
//   - No grant and no renewal is sent for a range from the first release on, and
//     a release is sent only when no grant for the range is in flight. A renewal
//     cannot bring back what was released.
//   - After an upstream has refused a fencing token for a range, that token is
//     not sent for the range again.
//   - Adjacent ranges under the same fencing token are renewed by one call.
//
// The package does no input or output. It is for upstreams with up to some
// hundred ranges: each call of Next takes time linear in their number.
//
// # Usage
//
//	book := holds.New(2*time.Second)
//	for _, cmd := range book.Next(now, wanted, leaseEnd) {
//		// Send cmd to the upstream, then:
//		book.Record(now, cmd, holds.Accepted)
//	}
//	if book.Held(now, key) {
//		// Send the request.
//	}
package holds
