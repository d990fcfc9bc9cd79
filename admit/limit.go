package admit

import (
	"math"
	"time"
)

const (
	// sampleWindow is the number of requests after which the limit is adjusted
	// to their mean service time.
	sampleWindow = 64
	// latencyTolerance is the ratio of the mean service time to the baseline
	// that is attributed to the mix of requests; the limit falls only above it.
	latencyTolerance = 2.0
	// baselineDrift is the fraction by which the baseline moves towards each
	// new mean that is longer, so that a lasting change of workload becomes the
	// new baseline.
	baselineDrift = 0.02
	// smoothing is the weight of a newly computed limit against the current
	// one.
	smoothing = 0.2
	// decreaseFactor is the factor applied to the limit when the upstream
	// refuses a request.
	decreaseFactor = 0.9
	// minFraction is the smallest limit as a fraction of the announced slots.
	minFraction = 0.25
	// coldFraction is the initial limit of a cold upstream as a fraction of its
	// announced slots.
	coldFraction = 0.125
	// slowStartTime is the time in which the limit of a cold upstream rises to
	// its full value.
	slowStartTime = 10 * time.Second
	// decreaseInterval is the minimum time between two decreases caused by
	// refusals.
	decreaseInterval = 100 * time.Millisecond
	// defaultSlots is the number of slots assumed until an upstream announces
	// its own.
	defaultSlots = 1
)

// Limit computes how many requests an upstream may run concurrently. It adapts
// to the measured service times (a gradient limit) and to refusals. It is not
// safe for concurrent use.
type Limit struct {
	announced    float64
	current      float64
	coldSince    time.Time
	lastDecrease time.Time

	baseline  float64 // seconds
	mean      float64 // seconds
	sum       float64 // seconds
	samples   int
	saturated bool
}

// NewLimit returns a limit for an upstream that has not announced its slots
// yet.
func NewLimit() *Limit {
	return &Limit{announced: defaultSlots, current: defaultSlots}
}

// Announce sets the number of slots that the upstream announced. Cold starts a
// slow start.
func (l *Limit) Announce(now time.Time, slots int, cold bool) {
	n := math.Max(1, float64(slots))
	if n != l.announced {
		l.announced, l.current = n, n
	}
	if cold && l.coldSince.IsZero() {
		l.coldSince = now
	}
}

// Reset discards the measurements of the upstream's previous run and starts a
// slow start.
func (l *Limit) Reset(now time.Time) {
	*l = Limit{announced: l.announced, current: l.announced, coldSince: now}
}

// Cold reports whether the upstream is still in its slow start.
func (l *Limit) Cold(now time.Time) bool {
	return !l.coldSince.IsZero() && now.Sub(l.coldSince) < slowStartTime
}

// Value returns the limit in force, which is at least one.
func (l *Limit) Value(now time.Time) int {
	limit := math.Min(l.current, l.announced)
	if l.Cold(now) {
		progress := now.Sub(l.coldSince).Seconds() / slowStartTime.Seconds()
		limit = math.Min(limit, l.announced*(coldFraction+(1-coldFraction)*progress))
	}
	return max(1, int(limit))
}

// RecordServed records the service time of one request. Running is the number of
// requests that ran at the same time.
func (l *Limit) RecordServed(service time.Duration, running int) {
	l.sum += service.Seconds()
	l.samples++
	if float64(running) >= l.current/2 {
		l.saturated = true
	}
	if l.mean == 0 {
		l.mean = service.Seconds()
	}
	if l.samples >= sampleWindow {
		l.adjust()
	}
}

// adjust updates the baseline and the limit from the mean service time of a
// window. The limit changes only if at least half of it was in use at some time
// during the window.
func (l *Limit) adjust() {
	l.mean = l.sum / float64(l.samples)
	switch {
	case l.baseline == 0 || l.mean < l.baseline:
		l.baseline = l.mean
	default:
		l.baseline += (l.mean - l.baseline) * baselineDrift
	}
	if l.saturated && l.mean > 0 {
		gradient := math.Max(0.5, math.Min(1, latencyTolerance*l.baseline/l.mean))
		next := l.current*gradient + math.Sqrt(l.current)
		l.set(l.current*(1-smoothing) + next*smoothing)
	}
	l.sum, l.samples, l.saturated = 0, 0, false
}

// RecordRefused lowers the limit after the upstream refused a request, at most once
// per decreaseInterval.
func (l *Limit) RecordRefused(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.set(l.current * decreaseFactor)
}

func (l *Limit) set(limit float64) {
	l.current = math.Min(l.announced, math.Max(limit, math.Max(1, l.announced*minFraction)))
}

// ServiceTime returns the mean service time of the latest complete window, or the
// first sample until one is complete; zero before the first request was served.
func (l *Limit) ServiceTime() time.Duration {
	return time.Duration(l.mean * float64(time.Second))
}
