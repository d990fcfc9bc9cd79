package calls

import "time"

// Terms are what a route says of its calls.
type Terms struct {
	// Route names the route in logs and metrics.
	Route string
	// Repeatable allows the call to run more than once.
	Repeatable bool
	// Attempts is the largest number of upstreams that one call may be sent to.
	Attempts int
	// Priority ranks calls of one upstream; 0 is served first.
	Priority int
	// Target is the time from the caller's first attempt within which an answer
	// is worth most.
	Target time.Duration
	// Timeout is the longest time that a call may stay unanswered.
	Timeout time.Duration
	// Spent is the time that earlier attempts of the same caller are believed
	// to have taken.
	Spent time.Duration
}
