package strain

import (
	"math"
	"sync"
	"time"
)

// SampleTime is the time between two samples.
const SampleTime = 50 * time.Millisecond

const (
	// halfLife is the time after which a sample counts half: longer than the pauses
	// of a processor that is shared out in tenths of a second.
	halfLife = 300 * time.Millisecond
	// mostWeight is the longest time that one sample stands for, and mostLate the
	// greatest lateness that it counts with: a process that stood still is late once,
	// which alone is no strain.
	mostWeight = 200 * time.Millisecond
	mostLate   = 250 * time.Millisecond
	// highLate is the mean lateness from which a daemon is strained: a call waits for
	// the processor several times on its way, and targets are some hundred
	// milliseconds.
	highLate = 100 * time.Millisecond
	// lowLate is the mean lateness below which it is not any more.
	lowLate = 25 * time.Millisecond
	// firstRest is how long callers are kept away at first. Each time that strain is
	// back within calmTime of their return the next rest is twice as long, up to
	// mostRest.
	firstRest = 1500 * time.Millisecond
	mostRest  = 6 * time.Second
	calmTime  = 5 * time.Second
)

// Meter measures strain. It is safe for concurrent use.
type Meter struct {
	mu   sync.Mutex
	late time.Duration
	last time.Time
	// strained is set from since on; rest is how long it stays set at least.
	strained bool
	since    time.Time
	ended    time.Time
	rest     time.Duration
}

// New returns a meter that has seen no strain.
func New() *Meter { return &Meter{} }

// Sample takes by how much a timer was late, and reports whether the daemon's state
// has changed.
func (m *Meter) Sample(now time.Time, late time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := SampleTime
	if !m.last.IsZero() {
		passed = min(now.Sub(m.last), mostWeight)
	}
	m.last = now
	late = min(max(0, late), mostLate)
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	m.late = time.Duration(keep*float64(m.late) + (1-keep)*float64(late))
	switch {
	case !m.strained && m.late >= highLate:
		m.begin(now)
		return true
	case m.strained && m.late < lowLate && now.Sub(m.since) >= m.rest:
		m.strained, m.ended = false, now
		return true
	}
	return false
}

// begin starts a time of strain.
func (m *Meter) begin(now time.Time) {
	if m.rest == 0 || now.Sub(m.ended) > calmTime {
		m.rest = firstRest
	} else {
		m.rest = min(2*m.rest, mostRest)
	}
	m.strained, m.since = true, now
}

// Strained reports whether callers should go elsewhere.
func (m *Meter) Strained() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strained
}

// Late returns the mean lateness of the last samples.
func (m *Meter) Late() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late
}
