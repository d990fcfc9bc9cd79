package mesh

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

// ErrSettings reports settings that can't be used.
var ErrSettings = errors.New("bad settings")

// Settings are what a node is told at its start.
type Settings struct {
	Host    ident.Host
	Zone    ident.Place
	Service ident.Service
	// Upstream is the address of the upstream beside the daemon.
	Upstream string
	// Peers is the address for other daemons, for streams and datagrams alike.
	Peers string
	// Seeds are addresses where other daemons may be.
	Seeds []string
	// Interval is the time between two heartbeats of the upstream.
	Interval time.Duration
	// MaxHold bounds the time for which an upstream is granted keys.
	MaxHold time.Duration
	// Drain is how long an upstream that leaves may still be sent calls.
	Drain time.Duration
	// RetryRatio and RetrySlack bound the calls that reach upstreams again, for
	// the whole fleet within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes is how much memory the process may use.
	MemoryBytes int64
	// Lease are the terms of leases; zero stands for the defaults.
	Lease lease.Terms
}

// check returns an error that names the field and what is allowed.
func (s *Settings) check() error {
	switch {
	case s.Host == "":
		return fmt.Errorf("%w: host: empty, a name is needed", ErrSettings)
	case s.Service == "":
		return fmt.Errorf("%w: service: empty, a name is needed", ErrSettings)
	case s.Upstream == "":
		return fmt.Errorf("%w: upstream: empty, an address is needed", ErrSettings)
	case s.Peers == "":
		return fmt.Errorf("%w: peers: empty, an address is needed", ErrSettings)
	case s.Interval <= 0:
		return fmt.Errorf("%w: interval: %s, more than zero is needed", ErrSettings, s.Interval)
	case s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow <= 0:
		return fmt.Errorf("%w: retry: ratio %v, slack %v, window %s, a window and no negative values are needed",
			ErrSettings, s.RetryRatio, s.RetrySlack, s.RetryWindow)
	}
	return nil
}

const (
	// holdBeats is the number of heartbeats that a grant outlasts: one may be
	// lost, and the answer to the next may be held back.
	holdBeats = 2
	// answerShare is the part of the heartbeat interval, and maxAnswerHold the
	// longest time, for which an answer is held back to carry a change of grants
	// as soon as there is one. An answer counts for the upstream up to a second.
	answerShare   = 0.95
	maxAnswerHold = 850 * time.Millisecond
	// holdReserve is what a grant lasts beyond its heartbeats.
	holdReserve = 700 * time.Millisecond
)

// hold returns for how long the upstream is granted keys.
func (s *Settings) hold() time.Duration {
	hold := holdBeats*s.Interval + holdReserve
	if s.MaxHold > 0 {
		hold = min(hold, s.MaxHold)
	}
	return hold
}

// terms returns the terms of leases: a lease outlasts a grant by two renewals.
func (s *Settings) terms() lease.Terms {
	t := s.Lease
	if t.Length == 0 {
		t = lease.DefaultTerms()
		t.Length = s.hold() + 2*t.Renewal
	}
	return t
}

// answerHold returns how long the answer to a heartbeat is held back at most.
func (s *Settings) answerHold() time.Duration {
	return min(time.Duration(answerShare*float64(s.Interval)), maxAnswerHold)
}
