package plan

import (
	"math"
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
)

// halfLife is the time after which a call counts half: short enough to follow a
// key that turns hot within seconds, long enough to smooth the arrival of single
// calls.
const halfLife = 1500 * time.Millisecond

// Heat measures the rate of calls of every key. It is safe for concurrent use.
type Heat struct {
	mu     sync.Mutex
	counts []float32
	// fresh holds the keys that were touched since the last Tick.
	fresh map[atlas.Point]uint32
	first time.Time
	last  time.Time
	total float64
	// whole is the part of a steady rate that the averages have reached.
	whole float64
	seen  uint64
}

// NewHeat returns a measure that has seen no call.
func NewHeat() *Heat {
	return &Heat{counts: make([]float32, atlas.Space), fresh: make(map[atlas.Point]uint32)}
}

// Touch counts one call.
func (h *Heat) Touch(p atlas.Point) {
	if p >= atlas.Space {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh[p]++
	h.seen++
}

// Seen returns the number of calls that were counted.
func (h *Heat) Seen() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen
}

// Tick takes in the calls since the last one. Rates are as of the last Tick.
func (h *Heat) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.first.IsZero() && len(h.fresh) > 0 {
		// The measure begins with the first calls: what came before tells nothing
		// about rates.
		h.first, h.last = now, now
		clear(h.fresh)
		return
	}
	if h.first.IsZero() {
		return
	}
	passed := now.Sub(h.last)
	if passed <= 0 {
		return
	}
	h.last = now
	// A rate is an average whose weights fall by half with each half-life.
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	gain := (1 - keep) / passed.Seconds()
	total := 0.0
	for i, c := range h.counts {
		if c == 0 {
			continue
		}
		c *= float32(keep)
		if c < minRate {
			c = 0
		}
		h.counts[i] = c
		total += float64(c)
	}
	for p, n := range h.fresh {
		add := float32(float64(n) * gain)
		h.counts[p] += add
		total += float64(add)
	}
	clear(h.fresh)
	h.total = total
	h.whole = 1 - math.Exp2(-now.Sub(h.first).Seconds()/halfLife.Seconds())
}

// scale returns the factor from averages to rates: an average that began a short
// while ago has reached only a part of the rate.
func (h *Heat) scale() float64 {
	if h.whole <= 0 {
		return 1
	}
	return 1 / h.whole
}

// minRate is the rate, in calls per second, below which a key counts as quiet.
const minRate = 1e-3

// Rate returns the calls per second of a range.
func (h *Heat) Rate(s atlas.Span) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0.0
	for p := s.From; p <= s.To; p++ {
		sum += float64(h.counts[p])
	}
	return sum * h.scale()
}

// Total returns the calls per second of all keys.
func (h *Heat) Total() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total * h.scale()
}

// Split returns the first key of the range at which the rate of the keys up to
// it, it included, reaches the given one; the range's last key when it does not.
// Base is a rate that every key is given besides, so that quiet ranges are
// divided by their keys.
func (h *Heat) Split(s atlas.Span, rate, base float64) atlas.Point {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum, scale := 0.0, h.scale()
	for p := s.From; p < s.To; p++ {
		sum += float64(h.counts[p])*scale + base
		if sum >= rate {
			return p
		}
	}
	return s.To
}
