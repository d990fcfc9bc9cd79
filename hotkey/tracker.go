package hotkey

import (
	"iter"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Defaults of the options.
const (
	defaultWindow  = 10 * time.Second
	defaultShare   = 0.05
	defaultMinRate = 20.0 // requests per second
	defaultIdle    = 10 * time.Minute
	defaultMaxPins = 256
)

// releaseFraction is the fraction of the hot threshold below which a pin may be
// released. The gap between the two prevents pins from being created and
// released repeatedly (hysteresis).
const releaseFraction = 0.25

// Tracker counts requests by slot and finds the hottest keys of each slot. It
// is safe for concurrent use.
type Tracker struct {
	slots   uint32
	window  time.Duration
	share   float64
	minRate float64
	idle    time.Duration
	maxPins int

	hashSlots []atomic.Pointer[sketch]

	mu        sync.RWMutex
	pinned    map[ident.Slot]*sketch
	coldSince map[ident.Slot]time.Time
	lastTick  time.Time
	// ratePerCount converts a decayed count into requests per second.
	ratePerCount float64
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithWindow sets the time constant of the averaged rates.
func WithWindow(d time.Duration) Option { return func(t *Tracker) { t.window = d } }

// WithShare sets the share of the member's load from which a key is hot.
func WithShare(share float64) Option { return func(t *Tracker) { t.share = share } }

// WithMinRate sets the rate, in requests per second, below which no key is hot.
func WithMinRate(perSecond float64) Option { return func(t *Tracker) { t.minRate = perSecond } }

// WithReleaseAfter sets how long a pinned key must have a low rate before its pin may
// be released.
func WithReleaseAfter(d time.Duration) Option { return func(t *Tracker) { t.idle = d } }

// WithMaxPins sets the maximum number of pinned slots that are tracked.
func WithMaxPins(n int) Option { return func(t *Tracker) { t.maxPins = n } }

// New returns a tracker for a service with the given number of hash slots.
func New(slots uint32, opts ...Option) *Tracker {
	t := &Tracker{
		slots:     slots,
		window:    defaultWindow,
		share:     defaultShare,
		minRate:   defaultMinRate,
		idle:      defaultIdle,
		maxPins:   defaultMaxPins,
		hashSlots: make([]atomic.Pointer[sketch], slots),
		pinned:    map[ident.Slot]*sketch{},
		coldSince: map[ident.Slot]time.Time{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Record records one request for the key with the given hash. It allocates
// memory only for the first request of a slot.
func (t *Tracker) Record(slot ident.Slot, hash uint64) {
	if s := t.sketch(slot); s != nil {
		s.record(hash)
	}
}

// sketch returns the sketch of a slot and creates it if needed. Returns nil for
// a new pinned slot when the maximum number is already tracked.
func (t *Tracker) sketch(slot ident.Slot) *sketch {
	if uint32(slot) >= t.slots {
		return t.pinnedSketch(slot)
	}
	cell := &t.hashSlots[slot]
	if s := cell.Load(); s != nil {
		return s
	}
	cell.CompareAndSwap(nil, &sketch{})
	return cell.Load()
}

func (t *Tracker) pinnedSketch(slot ident.Slot) *sketch {
	t.mu.RLock()
	s := t.pinned[slot]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.pinned[slot]; s != nil || len(t.pinned) >= t.maxPins {
		return s
	}
	s = &sketch{}
	t.pinned[slot] = s
	return s
}

// Forget discards the counts of slots that the member no longer owns.
func (t *Tracker) Forget(slots ...ident.Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, slot := range slots {
		if uint32(slot) < t.slots {
			t.hashSlots[slot].Store(nil)
			continue
		}
		delete(t.pinned, slot)
		delete(t.coldSince, slot)
	}
}

// EndInterval ends a measuring interval. Rates are valid as of the last call. The
// first call discards all counts and starts the measurement.
func (t *Tracker) EndInterval(now time.Time) {
	t.mu.Lock()
	elapsed := now.Sub(t.lastTick)
	first := t.lastTick.IsZero()
	if !first && elapsed <= 0 {
		t.mu.Unlock()
		return
	}
	t.lastTick = now
	factor := 0.0
	if !first {
		factor = math.Exp(-elapsed.Seconds() / t.window.Seconds())
		// With a steady rate r, the count after the decay converges to
		// r*elapsed*factor/(1-factor).
		t.ratePerCount = (1 - factor) / factor / elapsed.Seconds()
	}
	t.mu.Unlock()
	for _, s := range t.sketches() {
		s.decay(factor)
	}
}

// sketches returns the sketches of all slots that have received requests.
func (t *Tracker) sketches() iter.Seq2[ident.Slot, *sketch] {
	return func(yield func(ident.Slot, *sketch) bool) {
		for i := range t.hashSlots {
			if s := t.hashSlots[i].Load(); s != nil && !yield(ident.Slot(i), s) {
				return
			}
		}
		t.mu.RLock()
		pinned := make(map[ident.Slot]*sketch, len(t.pinned))
		for slot, s := range t.pinned {
			pinned[slot] = s
		}
		t.mu.RUnlock()
		for slot, s := range pinned {
			if !yield(slot, s) {
				return
			}
		}
	}
}

func (t *Tracker) scale() float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.ratePerCount
}

// Rates returns each slot that has received requests, with its requests per
// second.
func (t *Tracker) Rates() iter.Seq2[ident.Slot, float64] {
	scale := t.scale()
	return func(yield func(ident.Slot, float64) bool) {
		for slot, s := range t.sketches() {
			if !yield(slot, s.sum()*scale) {
				return
			}
		}
	}
}

// Total returns the requests per second over all slots.
func (t *Tracker) Total() float64 {
	total := 0.0
	for _, rate := range t.Rates() {
		total += rate
	}
	return total
}
