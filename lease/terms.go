package lease

import "time"

// Default values of Terms.
const (
	// DefaultLength is the length of a lease. It bounds how long the keys of a
	// failed member wait for a new owner, and must be long enough for the lease
	// to survive a few lost renewals.
	DefaultLength = 3 * time.Second
	// DefaultRenewal is the interval between renewals. It is short enough that a
	// lease survives the loss of several renewals in a row.
	DefaultRenewal = 400 * time.Millisecond
	// DefaultDrift bounds how much slower the clock of a member may run than the
	// clock of a witness, as a fraction of the elapsed time. The clocks of the
	// platform's upstreams may be 2% slow.
	DefaultDrift = 0.03
)

// Terms are the lease parameters, which must be equal on all members of a fleet.
type Terms struct {
	// Length is how long a renewal is valid, counted from when it was sent.
	Length time.Duration
	// Renewal is the interval between renewals.
	Renewal time.Duration
	// Drift bounds how much slower the holder's clock may run than a witness's,
	// as a fraction of the elapsed time.
	Drift float64
}

// DefaultTerms returns Terms with the default values.
func DefaultTerms() Terms {
	return Terms{Length: DefaultLength, Renewal: DefaultRenewal, Drift: DefaultDrift}
}

// VoteTimeout returns how long a witness waits after the last renewal before it
// may vote that the lease has expired: the length of the lease plus the largest
// clock drift over that time.
func (t Terms) VoteTimeout() time.Duration {
	return t.Length + time.Duration(float64(t.Length)*t.Drift)
}

// Majority returns how many of n witnesses must acknowledge a renewal, or vote,
// for it to take effect.
func Majority(n int) int { return n/2 + 1 }
