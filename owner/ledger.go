package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// fullWeightTime is how long a change of owner counts in full, since the
	// upstream must be granted the keys before it gets their calls. fadeOutTime
	// is how long its weight then takes to fall to zero: rates are measured
	// over one second.
	fullWeightTime = 500 * time.Millisecond
	fadeOutTime    = time.Second
	// gossipTime is added for each daemon of the fleet: gossip takes about that
	// long per daemon until all of them have received a member's new load.
	gossipTime = 10 * time.Millisecond
	// transferRetention is how long transfers are stored. None counts for
	// longer in a fleet of a few hundred daemons.
	transferRetention = 6 * time.Second
)

// transferLog holds the load that has recently changed owner. The load that
// members report does not include it yet; without the log, many members would
// give their load to the same member with spare capacity.
type transferLog struct {
	transfers []loadTransfer
}

// loadTransfer is load in calls per second that a member has gained, or lost if
// negative.
type loadTransfer struct {
	host ident.Host
	rate float64
	at   time.Time
}

// record adds the ranges whose owner differs between two versions of the table,
// and drops expired transfers.
func (l *transferLog) record(now time.Time, before, after *atlas.Table) {
	kept := l.transfers[:0]
	for _, b := range l.transfers {
		if now.Sub(b.at) < transferRetention {
			kept = append(kept, b)
		}
	}
	l.transfers = kept
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
		l.transfers = append(l.transfers, loadTransfer{host: host, rate: rate, at: now})
		if ok {
			l.transfers = append(l.transfers, loadTransfer{host: from.Inc.Host, rate: -rate, at: now})
		}
	}
}

// loadDelta returns the difference between a member's load and the load that it
// last reported, in a fleet of the given size.
func (l *transferLog) loadDelta(now time.Time, host ident.Host, fleet int) float64 {
	full := fullWeightTime + time.Duration(fleet)*gossipTime
	sum := 0.0
	for _, b := range l.transfers {
		if b.host == host {
			left := 1 - float64(now.Sub(b.at)-full)/float64(fadeOutTime)
			sum += b.rate * min(1, max(0, left))
		}
	}
	return sum
}

// offered returns the rate of calls that a daemon is offered, in calls per
// second. Recent transfers are added for other daemons; this member measures
// its own load.
func (m *Machine) offered(e gossip.Entry) float64 {
	if e.Inc.Host == m.host {
		return float64(e.Load.Offered)
	}
	return max(0, float64(e.Load.Offered)+m.transfers.loadDelta(m.now, e.Inc.Host, len(m.live)))
}
