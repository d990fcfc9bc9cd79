package steady

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithDeadline returns a context that ends at t by the given clock. The library's
// own function counts on the time of day unless the clock is a fake one.
func WithDeadline(ctx context.Context, clock clockwork.Clock, t time.Time) (context.Context, context.CancelFunc) {
	if c, ok := clock.(*Clock); ok {
		return context.WithTimeout(ctx, c.Until(t))
	}
	return clockwork.WithDeadline(ctx, clock, t)
}
