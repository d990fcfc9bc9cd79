package steer

import (
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Budget limits the retries of calls that upstreams may have seen, for each service and
// within a sliding window. It is safe for concurrent use.
type Budget struct {
	window time.Duration

	mu sync.Mutex
	// ratio is the number of retries allowed per call sent, slack a number of retries
	// allowed in addition, both within the window. The slack holds for the whole fleet
	// and is divided by fleetSize, so that each daemon may use an equal part of it.
	ratio     float64
	slack     float64
	fleetSize int
	services  map[ident.Service]*callWindow
}

// buckets is the number of buckets into which the window is divided.
const buckets = 10

// safetyFactor is the fraction of the budget that is used. It leaves a margin because
// the windows of different daemons do not start at the same time.
const safetyFactor = 0.8

// callWindow counts the calls and retries of one service in the buckets of a sliding
// window.
type callWindow struct {
	// bucket is the number of the newest bucket, counted from the Unix epoch.
	bucket  int64
	sent    [buckets]int
	retries [buckets]int
}

// minDaemons is the smallest fleet size by which the slack is divided: a daemon that
// starts, or that is partitioned from the others, knows of few of them.
const minDaemons = 16

// NewBudget returns the budget of one daemon, given the ratio and slack of the fleet.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{
		ratio: ratio, slack: slack, window: window, fleetSize: minDaemons, services: make(map[ident.Service]*callWindow),
	}
}

// ObserveFleetSize reports the number of known daemons. The budget divides the slack by the highest
// number reported so far.
func (b *Budget) ObserveFleetSize(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSize = max(b.fleetSize, daemons)
}

// SetLimits replaces the ratio and slack of the fleet.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// RecordCall counts the first attempt of a call.
func (b *Budget) RecordCall(now time.Time, service ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.windowOf(now, service)
	l.sent[l.bucket%buckets]++
}

// TakeRetry takes one retry from the budget. It returns false, and counts nothing, when the
// budget is used up.
func (b *Budget) TakeRetry(now time.Time, service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.windowOf(now, service)
	sent, retries := 0, 0
	for i := range buckets {
		sent += l.sent[i]
		retries += l.retries[i]
	}
	if float64(retries+1) > safetyFactor*(b.ratio*float64(sent)+b.slack/float64(b.fleetSize)) {
		return false
	}
	l.retries[l.bucket%buckets]++
	return true
}

// windowOf returns the window of a service, advanced to the present bucket. The caller
// holds b.mu.
func (b *Budget) windowOf(now time.Time, service ident.Service) *callWindow {
	bucket := now.UnixNano() / int64(b.window/buckets)
	l, ok := b.services[service]
	if !ok {
		l = &callWindow{bucket: bucket}
		b.services[service] = l
	}
	for steps := 0; l.bucket < bucket && steps < buckets; steps++ {
		l.bucket++
		l.sent[l.bucket%buckets], l.retries[l.bucket%buckets] = 0, 0
	}
	l.bucket = max(l.bucket, bucket)
	return l
}
