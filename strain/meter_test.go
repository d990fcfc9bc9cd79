package strain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/strain"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// host is a processor that serves calls one after the other; a timer waits behind
// the work that is queued.
type host struct {
	meter *strain.Meter
	now   time.Time
	// backlog is the work that waits, in processor time at full speed.
	backlog time.Duration
}

// run lets the host get work for d, as a part of its full speed, at a speed.
func (h *host) run(d time.Duration, work, speed float64) (strained int) {
	for end := h.now.Add(d); h.now.Before(end); {
		late := time.Duration(float64(h.backlog) / speed)
		step := strain.SampleTime + late
		h.now = h.now.Add(step)
		h.backlog += time.Duration((work - speed) * float64(step))
		h.backlog = max(0, h.backlog)
		h.meter.Sample(h.now, late)
		if h.meter.Strained() {
			strained++
		}
	}
	return strained
}

func TestHosts(t *testing.T) {
	for _, tt := range []struct {
		name        string
		work, speed float64
		strained    bool
	}{
		{"idle", 0.1, 1, false},
		{"busy", 0.9, 1, false},
		{"slowed but idle", 0.1, 0.2, false},
		{"slowed", 0.5, 0.2, true},
		{"flooded", 2, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &host{meter: strain.New(), now: start}
			h.run(2*time.Second, tt.work, tt.speed)
			qt.New(t).Check(h.meter.Strained(), qt.Equals, tt.strained)
		})
	}
}

// TestSharedProcessor stops the processor for most of each tenth of a second, as a
// quota does: that alone is no strain.
func TestSharedProcessor(t *testing.T) {
	c := qt.New(t)
	m := strain.New()
	for i := range 100 {
		late := time.Duration(0)
		if i%2 == 1 {
			late = 45 * time.Millisecond
		}
		m.Sample(start.Add(time.Duration(i)*strain.SampleTime), late)
	}
	c.Assert(m.Strained(), qt.IsFalse)
}

// TestRestsGrow lets strain return as soon as the callers do: they are kept away
// for longer each time, and for a short while again once a calm time has passed.
func TestRestsGrow(t *testing.T) {
	c := qt.New(t)
	m := strain.New()
	now := start
	rest := func() time.Duration {
		for !m.Strained() {
			now = now.Add(strain.SampleTime)
			m.Sample(now, time.Second)
		}
		began := now
		for m.Strained() {
			now = now.Add(strain.SampleTime)
			m.Sample(now, 0)
		}
		return now.Sub(began)
	}
	first, second, third := rest(), rest(), rest()
	c.Check(second > first+time.Second && third > second+time.Second, qt.IsTrue, qt.Commentf("%v %v %v", first, second, third))
	for range 4 {
		c.Check(rest() < 8*time.Second, qt.IsTrue)
	}
	for range 120 {
		now = now.Add(strain.SampleTime)
		m.Sample(now, 0)
	}
	c.Check(rest(), qt.Equals, first)
}

// TestPauseIsNoStrain lets the process stand still for seconds: once it runs again its
// timers are on time, and callers need not go elsewhere.
func TestPauseIsNoStrain(t *testing.T) {
	c := qt.New(t)
	m := strain.New()
	now := start
	for i := range 100 {
		late := time.Duration(0)
		if i%40 == 20 {
			late = 5 * time.Second
		}
		now = now.Add(strain.SampleTime + late)
		m.Sample(now, late)
		c.Assert(m.Strained(), qt.IsFalse, qt.Commentf("sample %d", i))
	}
}
