package calls

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

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
	// Regions are the regions whose upstreams may run the call; all of them if empty.
	Regions []ident.Region
	// Spent is the estimated time that earlier attempts by the same caller have
	// taken.
	Spent time.Duration
}

// Allows reports whether upstreams of a region may run the call.
func (p *RoutePolicy) Allows(region ident.Region) bool {
	return len(p.Regions) == 0 || slices.Contains(p.Regions, region)
}
