package stream

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Budget bounds the appends of one daemon, since the log takes only several
// hundred a second for all daemons together. It is a token bucket.
type Budget struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
}

// NewBudget returns a budget of perSecond appends a second that saves up to
// burst of them.
func NewBudget(clock clockwork.Clock, perSecond float64, burst int) *Budget {
	return &Budget{clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Wait takes one append from the budget, as soon as there is one.
func (b *Budget) Wait(ctx context.Context) error {
	now := b.clock.Now()
	r := b.limiter.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		sleep(ctx, b.clock, d, nil)
	}
	if err := ctx.Err(); err != nil {
		r.CancelAt(b.clock.Now())
		return fmt.Errorf("wait for append budget: %w", err)
	}
	return nil
}
