package calls

import "time"

// RoutePolicy is a route's policy for its calls.
type RoutePolicy struct {
	// Route is the name of the route in logs and metrics.
	Route string
	// Repeatable permits the call to run more than once, so that it can be retried
	// when its outcome is unknown.
	Repeatable bool
	// Attempts is the largest number of upstreams to which one call may be sent.
	Attempts int
	// Priority orders the calls that wait for one upstream; 0 is served first.
	Priority int
	// Target is the latency target, measured from the caller's first attempt. An
	// answer within this time has the highest value.
	Target time.Duration
	// Timeout is the time within which a call must be answered.
	Timeout time.Duration
	// Spent is the estimated time that earlier attempts by the same caller have
	// taken.
	Spent time.Duration
}
