package cpulag_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/cpulag"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// host simulates a processor that runs work in order of arrival; a timer waits behind
// the queued work.
type host struct {
	meter *cpulag.Meter
	now   time.Time
	// backlog is the queued work, in processor time at full speed.
	backlog time.Duration
}

// run simulates the host for d. Offered is the work that arrives and speed the rate at
// which it is done, both as a part of the full speed. It returns the number of samples
// at which the host was strained.
func (h *host) run(d time.Duration, offered, speed float64) (strained int) {
	for end := h.now.Add(d); h.now.Before(end); {
		late := time.Duration(float64(h.backlog) / speed)
		step := cpulag.SampleInterval + late
		h.now = h.now.Add(step)
		h.backlog += time.Duration((offered - speed) * float64(step))
		h.backlog = max(0, h.backlog)
		h.meter.Sample(h.now, late)
		if h.meter.Starved() {
			strained++
		}
	}
	return strained
}

// TestHosts checks which combinations of offered work and processor speed count as
// strain.
func TestHosts(t *testing.T) {
	for _, tt := range []struct {
		name           string
		offered, speed float64
		strained       bool
	}{
		{"idle", 0.1, 1, false},
		{"busy", 0.9, 1, false},
		{"slowed but idle", 0.1, 0.2, false},
		{"slowed", 0.5, 0.2, true},
		{"flooded", 2, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &host{meter: cpulag.New(), now: start}
			h.run(2*time.Second, tt.offered, tt.speed)
			qt.New(t).Check(h.meter.Starved(), qt.Equals, tt.strained)
		})
	}
}

// TestSharedProcessor delays every second timer by 45 ms, as a processor quota does
// that stops the process for most of each tenth of a second. That alone must not count
// as strain.
func TestSharedProcessor(t *testing.T) {
	c := qt.New(t)
	m := cpulag.New()
	for i := range 100 {
		late := time.Duration(0)
		if i%2 == 1 {
			late = 45 * time.Millisecond
		}
		m.Sample(start.Add(time.Duration(i)*cpulag.SampleInterval), late)
	}
	c.Assert(m.Starved(), qt.IsFalse)
}

// TestBackoffGrows makes the daemon strained again as soon as its callers return. They
// must be kept away for longer each time, and for the shortest time again after a
// period without strain.
func TestBackoffGrows(t *testing.T) {
	c := qt.New(t)
	m := cpulag.New()
	now := start
	strainedTime := func() time.Duration {
		for !m.Starved() {
			now = now.Add(cpulag.SampleInterval)
			m.Sample(now, time.Second)
		}
		began := now
		for m.Starved() {
			now = now.Add(cpulag.SampleInterval)
			m.Sample(now, 0)
		}
		return now.Sub(began)
	}
	first, second, third := strainedTime(), strainedTime(), strainedTime()
	c.Check(second > first+time.Second && third > second+time.Second, qt.IsTrue, qt.Commentf("%v %v %v", first, second, third))
	for range 4 {
		c.Check(strainedTime() < 8*time.Second, qt.IsTrue)
	}
	for range 120 {
		now = now.Add(cpulag.SampleInterval)
		m.Sample(now, 0)
	}
	c.Check(strainedTime(), qt.Equals, first)
}

// TestPauseIsNoStrain suspends the process for seconds. Once it runs again its timers
// are on time, so it must not count as strained.
func TestPauseIsNoStrain(t *testing.T) {
	c := qt.New(t)
	m := cpulag.New()
	now := start
	for i := range 100 {
		late := time.Duration(0)
		if i%40 == 20 {
			late = 5 * time.Second
		}
		now = now.Add(cpulag.SampleInterval + late)
		m.Sample(now, late)
		c.Assert(m.Starved(), qt.IsFalse, qt.Commentf("sample %d", i))
	}
}
