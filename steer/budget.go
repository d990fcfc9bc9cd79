package steer

import (
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Budget bounds the calls that reach upstreams of a service beyond the first
// sending of each. It is safe for concurrent use.
type Budget struct {
	window time.Duration

	mu sync.Mutex
	// ratio is the part of the calls sent that may be sent again, slack a number
	// that may be besides, both within the window. The slack is the fleet's; each
	// of its parts may use as much.
	ratio    float64
	slack    float64
	parts    int
	services map[ident.Service]*ledger
}

// buckets is the number of parts of a window.
const buckets = 10

// caution is the part of the budget that is used: windows of different daemons
// do not begin together.
const caution = 0.8

// ledger counts the calls of one service within the window.
type ledger struct {
	at    int64
	sent  [buckets]int
	again [buckets]int
}

// leastParts is the number of daemons among which the slack is divided at least:
// a daemon that starts, or is cut off, knows of few others.
const leastParts = 16

// NewBudget returns a daemon's part of the budget of a fleet.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		ratio: ratio, slack: slack, window: window, parts: leastParts, services: make(map[ident.Service]*ledger),
	}
}

// Join tells how many daemons are known. The budget goes by the most it was told.
func (b *Budget) Join(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = max(b.parts, daemons)
}

// Set replaces the fleet's ratio and slack.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// Sent counts the first sending of a call.
func (b *Budget) Sent(now time.Time, service ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(now, service)
	l.sent[l.at%buckets]++
}

// Spend takes one repeated sending from the budget, if there is one.
func (b *Budget) Spend(now time.Time, service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(now, service)
	sent, again := 0, 0
	for i := range buckets {
		sent += l.sent[i]
		again += l.again[i]
	}
	if float64(again+1) > caution*(b.ratio*float64(sent)+b.slack/float64(b.parts)) {
		return false
	}
	l.again[l.at%buckets]++
	return true
}

// ledger returns the ledger of a service as of now.
func (b *Budget) ledger(now time.Time, service ident.Service) *ledger {
	at := now.UnixNano() / int64(b.window/buckets)
	l, ok := b.services[service]
	if !ok {
		l = &ledger{at: at}
		b.services[service] = l
	}
	for steps := 0; l.at < at && steps < buckets; steps++ {
		l.at++
		l.sent[l.at%buckets], l.again[l.at%buckets] = 0, 0
	}
	l.at = max(l.at, at)
	return l
}
