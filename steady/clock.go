// Package steady is a clock that runs on while its host is suspended and takes
// no part in jumps of the time of day. Leases and grants are counted on it: what
// ran out during a suspension is seen to have run out.
//
// # Usage
//
//	clock := steady.New()
//	if clock.Now().After(leaseEnd) {
//		stop()
//	}
package steady

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clockwork.Clock whose Now counts from the time of day at its start.
// Timers run on the process's own clock and may fire late after a suspension.
type Clock struct {
	clockwork.Clock
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts at the present time of day.
func New() *Clock {
	real := clockwork.NewRealClock()
	return &Clock{Clock: real, start: real.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time of day at the start plus what has passed since.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// Since returns the time that has passed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot returns the time since the host started, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("steady: the system has no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
