package cpulag

import (
	"math"
	"sync"
	"time"
)

// SampleInterval is the interval between two samples.
const SampleInterval = 50 * time.Millisecond

const (
	// halfLife is the time after which the weight of a sample has halved. It is longer
	// than the pauses of a process whose processor time is allotted in periods of
	// tenths of a second.
	halfLife = 300 * time.Millisecond
	// maxSampleWeight limits the time that one sample stands for, and maxLateness the
	// lateness that it contributes: a process that was suspended is late once, which
	// must not count as strain by itself.
	maxSampleWeight = 200 * time.Millisecond
	maxLateness     = 250 * time.Millisecond
	// enterLateness is the mean lateness from which a daemon is strained: a call waits
	// for the processor several times on its way, and latency targets are a few hundred
	// milliseconds.
	enterLateness = 100 * time.Millisecond
	// exitLateness is the mean lateness below which a daemon is no longer strained.
	exitLateness = 25 * time.Millisecond
	// minBackoff is how long callers are kept away at first. If the daemon is strained
	// again within backoffResetTime of their return, the time doubles, up to
	// maxBackoff.
	minBackoff       = 1500 * time.Millisecond
	maxBackoff       = 6 * time.Second
	backoffResetTime = 5 * time.Second
)

// Meter detects a lack of processor time from the lateness of timers. It is safe for
// concurrent use.
type Meter struct {
	mu         sync.Mutex
	mean       time.Duration
	lastSample time.Time
	// strained is set from enteredAt on, for at least backoff; leftAt is when it was
	// last reset.
	strained  bool
	enteredAt time.Time
	leftAt    time.Time
	backoff   time.Duration
}

// New returns a meter that is not strained and has no samples.
func New() *Meter { return &Meter{} }

// Sample records by how much a timer was late, and reports whether Starved has
// changed.
func (m *Meter) Sample(now time.Time, late time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := SampleInterval
	if !m.lastSample.IsZero() {
		passed = min(now.Sub(m.lastSample), maxSampleWeight)
	}
	m.lastSample = now
	late = min(max(0, late), maxLateness)
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	m.mean = time.Duration(keep*float64(m.mean) + (1-keep)*float64(late))
	switch {
	case !m.strained && m.mean >= enterLateness:
		m.enter(now)
		return true
	case m.strained && m.mean < exitLateness && now.Sub(m.enteredAt) >= m.backoff:
		m.strained, m.leftAt = false, now
		return true
	}
	return false
}

// enter marks the daemon as strained and sets the time for which it stays so at least.
func (m *Meter) enter(now time.Time) {
	if m.backoff == 0 || now.Sub(m.leftAt) > backoffResetTime {
		m.backoff = minBackoff
	} else {
		m.backoff = min(2*m.backoff, maxBackoff)
	}
	m.strained, m.enteredAt = true, now
}

// Starved reports whether the daemon lacks processor time, so that callers should use
// other daemons.
func (m *Meter) Starved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strained
}

// Lateness returns the exponentially weighted mean lateness of the timers.
func (m *Meter) Lateness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean
}
