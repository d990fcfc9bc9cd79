package fault

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// laneLength is the number of pieces on their way in one direction.
const laneLength = 64

// piece is a part of a TCP stream or a datagram on its way.
type piece struct {
	data []byte
	// due is when the delay is over.
	due time.Time
	// end says that the stream ends here: with io.EOF, or with a reset.
	end error
}

// lane carries pieces in one direction of one flow, in order.
type lane struct {
	clock clockwork.Clock
	queue chan piece
}

func newLane(clock clockwork.Clock) *lane {
	return &lane{clock: clock, queue: make(chan piece, laneLength)}
}

// put waits for room. It reports false when ctx ended first.
func (l *lane) put(ctx context.Context, p piece) bool {
	select {
	case l.queue <- p:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer drops the piece when there is no room.
func (l *lane) offer(p piece) {
	select {
	case l.queue <- p:
	default:
	}
}

// run delivers each piece when it is due, until deliver says false or ctx
// ends.
func (l *lane) run(ctx context.Context, deliver func(piece) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-l.queue:
			if !l.wait(ctx, p.due) || !deliver(p) {
				return
			}
		}
	}
}

func (l *lane) wait(ctx context.Context, due time.Time) bool {
	d := l.clock.Until(due)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := l.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
