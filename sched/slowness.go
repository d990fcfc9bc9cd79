package sched

import (
	"math"
	"time"
)

const (
	// slownessTTL is how long a reported slowness is used: it changes many times a second.
	slownessTTL = 500 * time.Millisecond
	// minSlownessSamples is the number of calls whose service times must have been
	// compared before reports are trusted.
	minSlownessSamples = 20
	// minSlownessChange is the least change, as a fraction of the mean, of a report whose
	// prediction is compared: smaller ones are lost in the spread of the service times.
	minSlownessChange = 0.2
	// maxSlownessFactor bounds the effect of a report on estimates.
	maxSlownessFactor = 4.0
)

// slowness tracks how long work takes at the upstream at present, as the upstream reports
// it with its answers, in proportion to the usual time. Reports are trusted only while
// they predict service times better than the mean alone does.
type slowness struct {
	current    float64
	reportedAt time.Time
	// mean is the average of the reports at the ends of calls, to which the mean
	// service times belong.
	mean float64
	// errWith and errWithout are the average errors of predictions, in seconds, with
	// the reports and without them.
	errWith, errWithout float64
	samples             int
}

// report stores a report; 1 stands for the usual time.
func (s *slowness) report(now time.Time, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value <= 0 {
		return
	}
	s.current, s.reportedAt = value, now
}

// isFresh reports whether there is a present report.
func (s *slowness) isFresh(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < slownessTTL
}

// observe compares the service time of a call with its prediction; expected is the mean
// of the call's class.
func (s *slowness) observe(now time.Time, expected, took time.Duration) {
	if !s.isFresh(now) {
		return
	}
	if s.samples == 0 {
		s.mean = s.current
	}
	ratio := s.current / s.mean
	s.mean += smoothing * (s.current - s.mean)
	s.samples++
	if math.Abs(ratio-1) < minSlownessChange {
		return
	}
	with := math.Abs(took.Seconds() - expected.Seconds()*ratio)
	without := math.Abs(took.Seconds() - expected.Seconds())
	s.errWith += smoothing * (with - s.errWith)
	s.errWithout += smoothing * (without - s.errWithout)
}

// isTrusted reports whether the reports have predicted service times better than the mean
// alone.
func (s *slowness) isTrusted() bool {
	return s.samples >= minSlownessSamples && s.errWith < s.errWithout
}

// factor returns by how much service times differ from their mean at present.
func (s *slowness) factor(now time.Time) float64 {
	if !s.isFresh(now) || !s.isTrusted() {
		return 1
	}
	return min(max(s.current/s.mean, 1/maxSlownessFactor), maxSlownessFactor)
}

// reset discards the state. It is called when the upstream has restarted.
func (s *slowness) reset() { *s = slowness{} }
