package core

import "time"

// Timings holds the intervals and limits of the protocol.
type Timings struct {
	// RenewInterval is the time between two renewal rounds with the witnesses.
	RenewInterval time.Duration
	// Lease is how long a grant of the witnesses is valid, counted from the
	// send time of the renewal.
	Lease time.Duration
	// Drift bounds, within one lease, by how much the clock of one member may
	// gain on that of another, together with a pause that a witness can't
	// detect.
	Drift time.Duration
	// Retry is the time after which an append that was not read back is
	// repeated.
	Retry time.Duration
	// ClaimDelay is how long a member waits, after its upstream came up and
	// its witnesses were named, before it claims slots that have never been
	// owned.
	ClaimDelay time.Duration
	// VoteResend is the time after which a vote is first sent again; the pause
	// doubles with each further send. It is also the time between two requests
	// for votes, and the interval at which the witnesses of a fenced member
	// take turns to append its fence.
	VoteResend time.Duration
	// WitnessSilence is how long a witness may leave renewals unanswered before it is
	// replaced.
	WitnessSilence time.Duration
	// RefreshInterval is the minimum time between two records that renew successor
	// lists.
	RefreshInterval time.Duration
	// RebalanceInterval is the time between two rounds that move slots to new members.
	RebalanceInterval time.Duration
	// RebalanceSlots is the number of slots that all members together move to a
	// new member in one such round.
	RebalanceSlots int
	// AppendRate is the number of appends per second that a member may start.
	AppendRate float64
	// SnapshotRecords is the number of records after which a snapshot is due.
	SnapshotRecords uint64
	// SnapshotAge is the time after which a snapshot is due even with fewer
	// records.
	SnapshotAge time.Duration
	// DutyDelay is how much longer each further member in the order of a duty
	// waits before it performs the duty in place of those before it.
	DutyDelay time.Duration
}

// DefaultTimings returns timings with which a slot is served again within 4 s
// of the loss of its owner.
func DefaultTimings() Timings {
	return Timings{
		RenewInterval:     500 * time.Millisecond,
		Lease:             1500 * time.Millisecond,
		Drift:             250 * time.Millisecond,
		Retry:             2 * time.Second,
		ClaimDelay:        time.Second,
		VoteResend:        500 * time.Millisecond,
		WitnessSilence:    2500 * time.Millisecond,
		RefreshInterval:   time.Second,
		RebalanceInterval: time.Second,
		RebalanceSlots:    128,
		AppendRate:        10,
		SnapshotRecords:   2000,
		SnapshotAge:       10 * time.Minute,
		DutyDelay:         2 * time.Second,
	}
}

// witnessTimeout returns for how long a member must be silent before its
// witness may vote against it. By then its lease has expired by its own clock
// too.
func (t *Timings) witnessTimeout() time.Duration { return t.Lease + t.Drift }
