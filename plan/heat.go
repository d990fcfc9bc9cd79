package plan

import (
	"math"
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
)

// halfLife is the time after which the weight of a call has fallen to half. It is short
// enough to follow a key that becomes hot within seconds, and long enough to smooth the
// arrival of single calls.
const halfLife = 1500 * time.Millisecond

// Heat measures the call rate of each key as an exponentially decaying average. It is
// safe for concurrent use.
type Heat struct {
	mu sync.Mutex
	// averages holds the average of each key in calls per second, before
	// biasCorrection.
	averages []float32
	// pending counts the calls for each key since the last Tick.
	pending   map[atlas.Point]uint32
	firstTick time.Time
	lastTick  time.Time
	total     float64
	// convergence is the fraction of a steady rate that the averages have reached since
	// the first Tick.
	convergence float64
	seen        uint64
}

// NewHeat returns a Heat without any calls.
func NewHeat() *Heat {
	return &Heat{averages: make([]float32, atlas.Space), pending: make(map[atlas.Point]uint32)}
}

// Touch counts one call for a key.
func (h *Heat) Touch(p atlas.Point) {
	if p >= atlas.Space {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[p]++
	h.seen++
}

// Seen returns the number of calls counted so far.
func (h *Heat) Seen() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen
}

// Tick adds the calls since the last Tick to the averages. Between two Ticks the rates
// stay the same.
func (h *Heat) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstTick.IsZero() && len(h.pending) > 0 {
		// The measurement starts at the first Tick with calls. These calls are dropped,
		// since the time in which they arrived is not known.
		h.firstTick, h.lastTick = now, now
		clear(h.pending)
		return
	}
	if h.firstTick.IsZero() {
		return
	}
	passed := now.Sub(h.lastTick)
	if passed <= 0 {
		return
	}
	h.lastTick = now
	// The weight of earlier calls in the average is halved in each half-life.
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	gain := (1 - keep) / passed.Seconds()
	total := 0.0
	for i, c := range h.averages {
		if c == 0 {
			continue
		}
		c *= float32(keep)
		if c < minRate {
			c = 0
		}
		h.averages[i] = c
		total += float64(c)
	}
	for p, n := range h.pending {
		add := float32(float64(n) * gain)
		h.averages[p] += add
		total += float64(add)
	}
	clear(h.pending)
	h.total = total
	h.convergence = 1 - math.Exp2(-now.Sub(h.firstTick).Seconds()/halfLife.Seconds())
}

// biasCorrection returns the factor from averages to rates. Shortly after the start an
// average has reached only a fraction of the rate.
func (h *Heat) biasCorrection() float64 {
	if h.convergence <= 0 {
		return 1
	}
	return 1 / h.convergence
}

// minRate is the average, in calls per second, below which a key is treated as having
// no calls.
const minRate = 1e-3

// Rate returns the rate of calls for the keys of a range, in calls per second.
func (h *Heat) Rate(s atlas.Span) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0.0
	for p := s.From; p <= s.To; p++ {
		sum += float64(h.averages[p])
	}
	return sum * h.biasCorrection()
}

// Total returns the rate of calls for all keys, in calls per second.
func (h *Heat) Total() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total * h.biasCorrection()
}

// Split returns the first key of a range at which the sum of the rates, from the start
// of the range up to and including that key, reaches rate. It returns the last key of
// the range if the sum doesn't reach it before. The rate base is added to that of each
// key, so that ranges without calls are divided by their number of keys.
func (h *Heat) Split(s atlas.Span, rate, base float64) atlas.Point {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum, scale := 0.0, h.biasCorrection()
	for p := s.From; p < s.To; p++ {
		sum += float64(h.averages[p])*scale + base
		if sum >= rate {
			return p
		}
	}
	return s.To
}
