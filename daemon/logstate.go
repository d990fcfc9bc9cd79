package daemon

import (
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

// logState remembers whether the platform's log answers.
type logState struct {
	mu    sync.Mutex
	up    bool
	since time.Time
}

func (s *logState) set(up bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = up
	s.since = now
}

func (s *logState) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// age returns the time since the log last changed its state.
func (s *logState) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// logChanged notes that a stream can be read or not.
func (d *Daemon) logChanged(s stream.State) {
	if s.Up {
		d.reachedOnce.Do(func() { close(d.reached) })
	}
	if s.Topic != stream.Ownership {
		return
	}
	d.logs.set(s.Up, d.o.clock.Now())
	note := "up"
	if !s.Up {
		note = "down"
		if s.Err != nil {
			note += ": " + s.Err.Error()
		}
	}
	d.recorder.Emit(events.Event{Kind: events.KindLog, Note: note})
	d.order(core.LogState{Up: s.Up})
}
