package mesh

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

// ErrSettings reports invalid settings.
var ErrSettings = errors.New("bad settings")

// Settings configure a node.
type Settings struct {
	Host    ident.Host
	Zone    ident.Place
	Service ident.Service
	// Regions maps each zone to its region; it may be empty.
	Regions map[ident.Place]ident.Region
	// Upstream is the address of the upstream beside the daemon.
	Upstream string
	// PeerAddr is the address on which other daemons reach this one, for both streams and
	// datagrams.
	PeerAddr string
	// Seeds are addresses at which other daemons may be found.
	Seeds []string
	// Interval is the time between two heartbeats of the upstream.
	Interval time.Duration
	// MaxGrant limits the length of grants; zero stands for no limit.
	MaxGrant time.Duration
	// FirstStart is set when the whole fleet starts for the first time, so that an
	// ownership table that is missing in the store was not lost.
	FirstStart bool
	// GrantsByCall is set if the upstream is granted keys by calls to it, instead of
	// by the answers to its heartbeats.
	GrantsByCall bool
	// Drain is how long calls may still be sent to a leaving upstream.
	Drain time.Duration
	// WarmupOverage is the factor by which the calls that a cold upstream gets may exceed
	// its warm-up rate; values below 1 stand for 1.
	WarmupOverage float64
	// Evacuation is how long after an evacuation of the zone calls may still be sent to
	// the upstream.
	Evacuation time.Duration
	// RetryRatio and RetrySlack limit the retried calls that reach upstreams, for the
	// whole fleet within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Lease holds the terms of leases; zero selects the defaults.
	Lease lease.Terms
}

// check returns an error that names the invalid field and says which values are
// allowed.
func (s *Settings) check() error {
	switch {
	case s.Host == "":
		return fmt.Errorf("%w: host: empty, a name is needed", ErrSettings)
	case s.Service == "":
		return fmt.Errorf("%w: service: empty, a name is needed", ErrSettings)
	case s.Upstream == "":
		return fmt.Errorf("%w: upstream: empty, an address is needed", ErrSettings)
	case s.PeerAddr == "":
		return fmt.Errorf("%w: peers: empty, an address is needed", ErrSettings)
	case s.Interval <= 0:
		return fmt.Errorf("%w: interval: %s, more than 0 is needed", ErrSettings, s.Interval)
	case s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow <= 0:
		return fmt.Errorf("%w: retry: ratio %v, slack %v, window %s, a ratio and a slack from 0 and a window above 0 are needed",
			ErrSettings, s.RetryRatio, s.RetrySlack, s.RetryWindow)
	}
	return nil
}

const (
	// grantHeartbeats is the number of heartbeat intervals that a grant covers: one
	// heartbeat may be lost, and the answer to the next may be held back.
	grantHeartbeats = 2
	// minGrantReserve is the least time that a grant lasts beyond its heartbeats.
	minGrantReserve = 700 * time.Millisecond
	// answerHoldShare is the part of the heartbeat interval, and maxAnswerHold the
	// longest time, for which an answer is held back to deliver a change of grants as
	// soon as there is one. The upstream accepts an answer for up to a second.
	answerHoldShare = 0.95
	maxAnswerHold   = 850 * time.Millisecond
)

// grantLength returns how long a grant to the upstream lasts. An upstream ends the calls
// that outlast the grant under which they began, also if it was renewed since. So a
// grant outlasts its renewal by the drain time, which is how long an upstream may need
// for the calls that it has begun. Grants by call are renewed after a third of their
// time, independently of heartbeats, and last the drain time and half an interval.
func (s *Settings) grantLength() time.Duration {
	hold := grantHeartbeats*s.Interval + max(s.Drain, minGrantReserve)
	if s.GrantsByCall {
		hold = s.Interval/2 + max(s.Drain, minGrantReserve)
	}
	if s.MaxGrant > 0 {
		hold = min(hold, s.MaxGrant)
	}
	return hold
}

// leaseTerms returns the terms of leases. By default a lease outlasts a grant by two
// renewals.
func (s *Settings) leaseTerms() lease.Terms {
	t := s.Lease
	if t.Length == 0 {
		t = lease.DefaultTerms()
		t.Length = s.grantLength() + 2*t.Renewal
	}
	return t
}

// answerHold returns the longest time for which the answer to a heartbeat is held back.
func (s *Settings) answerHold() time.Duration {
	return min(time.Duration(answerHoldShare*float64(s.Interval)), maxAnswerHold)
}
