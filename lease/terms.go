package lease

import "time"

// Defaults of the terms.
const (
	// DefaultLength is the length of a lease. It bounds how long a lost member's
	// keys wait for a new owner, and must outlast a few lost renewals.
	DefaultLength = 3 * time.Second
	// DefaultRenewal is the time between two renewals: a lease survives the loss
	// of several in a row.
	DefaultRenewal = 400 * time.Millisecond
	// DefaultDrift bounds by how much the clock of a member may run slower than
	// that of a witness, as a part of the time that passes. The platform's
	// upstreams may be 2% slow.
	DefaultDrift = 0.03
)

// Terms are what the members of a fleet agree on.
type Terms struct {
	// Length is how long a renewal holds, counted from its sending.
	Length time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// Drift bounds the difference of two clocks as a part of the time passed.
	Drift float64
}

// DefaultTerms returns the default terms.
func DefaultTerms() Terms {
	return Terms{Length: DefaultLength, Renewal: DefaultRenewal, Drift: DefaultDrift}
}

// wait is how long a witness counts before it takes a lease for ended.
func (t Terms) wait() time.Duration {
	return t.Length + time.Duration(float64(t.Length)*t.Drift)
}

// Majority returns how many of n witnesses it takes to renew or to vote.
func Majority(n int) int { return n/2 + 1 }
