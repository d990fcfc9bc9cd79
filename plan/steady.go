package plan

import "time"

const (
	// sampleInterval is the shortest time between two samples of an average. Rates are
	// measured over a second, so samples closer to each other add little information.
	sampleInterval = 200 * time.Millisecond
	// maxAverageTime is the longest time over which a rate is averaged.
	maxAverageTime = 4 * time.Second
)

// RateAverage averages the offered rate of a member for as long as its keys stay the same,
// so that a small excess can be told from a random fluctuation. It is not safe for
// concurrent use.
type RateAverage struct {
	firstSample time.Time
	lastSample  time.Time
	sum         float64
	n           int
}

// NewRateAverage returns an average without samples.
func NewRateAverage() *RateAverage { return &RateAverage{} }

// Reset discards all samples. It is called when the keys of the member have changed.
func (s *RateAverage) Reset() { *s = RateAverage{} }

// Add adds a sample of the rate, measured over the last second. It ignores a sample
// that follows the last one within sampleInterval.
func (s *RateAverage) Add(now time.Time, rate float64) {
	if s.firstSample.IsZero() {
		s.firstSample = now
	}
	if s.n > 0 && now.Sub(s.lastSample) < sampleInterval {
		return
	}
	if most := int(maxAverageTime / sampleInterval); s.n >= most {
		s.sum -= s.sum / float64(s.n)
		s.n--
	}
	s.lastSample = now
	s.sum += rate
	s.n++
}

// mean returns the average rate and the time, in seconds, whose calls it is based on;
// the first sample alone stands for one second. A nil RateAverage, or one without
// samples, returns zeros.
func (s *RateAverage) mean() (rate, seconds float64) {
	if s == nil || s.n == 0 {
		return 0, 0
	}
	return s.sum / float64(s.n), 1 + min(s.lastSample.Sub(s.firstSample), maxAverageTime).Seconds()
}
