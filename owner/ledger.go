package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// bookedTime is how long a change of owners counts in full, since the upstream
	// must be granted the keys first, and fadeTime how long it then takes to count
	// for nothing: rates are measured over a second.
	bookedTime = 500 * time.Millisecond
	fadeTime   = time.Second
	// tellTime is what gossip takes for each daemon of the fleet until all have heard
	// of a member's load.
	tellTime = 10 * time.Millisecond
	// keptTime is how long bookings are kept: none counts for longer in a fleet of a
	// few hundred daemons.
	keptTime = 6 * time.Second
)

// ledger holds the load that changed hands lately, so that members with room are
// not given the same load by many others.
type ledger struct {
	bookings []booking
}

// booking is load that a member has got, or lost if it is negative.
type booking struct {
	host ident.Host
	rate float64
	at   time.Time
}

// book notes the ranges that have other owners than in the version before.
func (l *ledger) book(now time.Time, before, after *atlas.Table) {
	kept := l.bookings[:0]
	for _, b := range l.bookings {
		if now.Sub(b.at) < keptTime {
			kept = append(kept, b)
		}
	}
	l.bookings = kept
	if before.Version() == 0 {
		return
	}
	members := after.Members()
	for _, row := range after.Rows() {
		if row.Rate <= 0 || row.Fence < atlas.FenceAfter(before.Version()) {
			continue
		}
		host, rate := members[row.Owner].Inc.Host, float64(row.Rate)
		from, ok := before.Owner(row.Span.From)
		if ok && from.Inc.Host == host {
			continue
		}
		l.bookings = append(l.bookings, booking{host: host, rate: rate, at: now})
		if ok {
			l.bookings = append(l.bookings, booking{host: from.Inc.Host, rate: -rate, at: now})
		}
	}
}

// change returns by how much a member's load differs from what it last told, in a
// fleet of the given size.
func (l *ledger) change(now time.Time, host ident.Host, fleet int) float64 {
	full := bookedTime + time.Duration(fleet)*tellTime
	sum := 0.0
	for _, b := range l.bookings {
		if b.host == host {
			left := 1 - float64(now.Sub(b.at)-full)/float64(fadeTime)
			sum += b.rate * min(1, max(0, left))
		}
	}
	return sum
}

// offered returns the rate of calls that a daemon is offered. What has changed hands
// lately is included for others; this member measures its own load.
func (m *Machine) offered(e gossip.Entry) float64 {
	if e.Inc.Host == m.host {
		return float64(e.Load.Offered)
	}
	return max(0, float64(e.Load.Offered)+m.bookings.change(m.now, e.Inc.Host, len(m.live)))
}
