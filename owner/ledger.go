package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// bookedTime is how long a change of owners counts in full before what its
	// members tell of their load shows it, and fadeTime how long it then takes to
	// count for nothing: a rate is measured over a second, and gossip takes about
	// another one through a large fleet.
	bookedTime = time.Second
	fadeTime   = 1500 * time.Millisecond
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
		if now.Sub(b.at) < bookedTime+fadeTime {
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

// change returns by how much a member's load differs from what it last told.
func (l *ledger) change(now time.Time, host ident.Host) float64 {
	sum := 0.0
	for _, b := range l.bookings {
		if b.host == host {
			left := 1 - float64(now.Sub(b.at)-bookedTime)/float64(fadeTime)
			sum += b.rate * min(1, max(0, left))
		}
	}
	return sum
}

// offered returns the rate of calls that a daemon is offered, what has changed
// hands lately included.
func (m *Machine) offered(e gossip.Entry) float64 {
	return max(0, float64(e.Load.Offered)+m.bookings.change(m.now, e.Inc.Host))
}
