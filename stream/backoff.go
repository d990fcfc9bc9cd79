package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// backoff doubles the time between attempts and spreads it, so that the
// daemons of a fleet do not return to the log at once.
type backoff struct {
	shortest, longest time.Duration
	attempts          int
}

func newBackoff(o options) *backoff {
	return &backoff{shortest: o.backoffMin, longest: o.backoffMax}
}

// next returns the time to wait: between half and all of the doubled time.
func (b *backoff) next() time.Duration {
	d := b.shortest
	for i := 0; i < b.attempts && d < b.longest; i++ {
		d *= 2
	}
	d = min(d, b.longest)
	b.attempts++
	return d/2 + rand.N(d/2+1)
}

func (b *backoff) reset() { b.attempts = 0 }

// sleep waits for d or until ctx ends or wake is signalled.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration, wake <-chan struct{}) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-wake:
	}
}
