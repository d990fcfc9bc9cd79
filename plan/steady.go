package plan

import "time"

const (
	// steadyGap is the time between two samples of a rate that is averaged: rates are
	// measured over a second, so that samples closer to each other tell little new.
	steadyGap = 200 * time.Millisecond
	// steadySpan is the longest time over which a rate is averaged.
	steadySpan = 4 * time.Second
)

// Steady averages a member's offered rate for as long as its keys stay the same, so
// that a small excess can be told from chance. It is not safe for concurrent use.
type Steady struct {
	began time.Time
	last  time.Time
	sum   float64
	n     int
}

// NewSteady returns an average that has seen nothing.
func NewSteady() *Steady { return &Steady{} }

// Reset begins anew, after the member's keys have changed.
func (s *Steady) Reset() { *s = Steady{} }

// Add takes the rate as it was measured over the last second.
func (s *Steady) Add(now time.Time, rate float64) {
	if s.began.IsZero() {
		s.began = now
	}
	if s.n > 0 && now.Sub(s.last) < steadyGap {
		return
	}
	if most := int(steadySpan / steadyGap); s.n >= most {
		s.sum -= s.sum / float64(s.n)
		s.n--
	}
	s.last = now
	s.sum += rate
	s.n++
}

// rate returns the mean, and the seconds of calls that it rests on.
func (s *Steady) rate() (rate, seconds float64) {
	if s == nil || s.n == 0 {
		return 0, 0
	}
	return s.sum / float64(s.n), 1 + min(s.last.Sub(s.began), steadySpan).Seconds()
}
