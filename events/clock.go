package events

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxClockSkew is the maximum time that a stamp from another daemon may be ahead of
// the local wall clock and still be observed. The limit keeps a peer whose clock
// is wrong from advancing the clocks of the other daemons.
const MaxClockSkew = time.Minute

// counterBits is the width of the logical counter in a stamp.
const counterBits = 16

// Clock is a hybrid logical clock: its stamps follow the wall clock and preserve
// causal order across daemons. It is safe for concurrent use.
type Clock struct {
	wall clockwork.Clock
	last atomic.Uint64
}

// NewClock returns a hybrid logical clock that reads physical time from wall.
func NewClock(wall clockwork.Clock) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp greater than every stamp that the clock has returned or
// observed.
func (c *Clock) Now() Stamp {
	now := StampOf(c.wall.Now())
	for {
		last := c.last.Load()
		next := max(uint64(now), last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe advances the clock to a stamp received in a message, so that later
// stamps are greater. Returns false and leaves the clock unchanged when the stamp
// is more than MaxClockSkew ahead of the wall clock.
func (c *Clock) Observe(s Stamp) bool {
	if s > StampOf(c.wall.Now().Add(MaxClockSkew)) {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return true
		}
	}
}

// StampOf returns the stamp of a wall time with the counter at zero.
func StampOf(t time.Time) Stamp {
	return Stamp(uint64(t.UnixNano()/int64(stampUnit)) << counterBits)
}
