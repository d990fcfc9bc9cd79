package spread

import "time"

// budget is a token bucket that limits the slots moved per minute. It refills continuously, up to perMinute.
type budget struct {
	perMinute float64
	remaining float64
	refilled  time.Time
}

// available refills the budget up to now and returns the number of whole moves that it allows.
func (b *budget) available(now time.Time) int {
	if !b.refilled.IsZero() && now.After(b.refilled) {
		b.remaining = min(b.perMinute, b.remaining+b.perMinute*now.Sub(b.refilled).Minutes())
	}
	if now.After(b.refilled) {
		b.refilled = now
	}
	return int(b.remaining)
}

// spend deducts n moves from the budget.
func (b *budget) spend(now time.Time, n int) {
	b.available(now)
	b.remaining -= float64(n)
}

// pendingMoves tracks recent moves that the measured load does not reflect yet.
type pendingMoves struct {
	moves []pendingMove
}

type pendingMove struct {
	until time.Time
	rate  float64
	slots int
}

// add records a move of a number of slots that carry rate requests per second together.
func (s *pendingMoves) add(now time.Time, rate float64, slots int) {
	s.prune(now)
	s.moves = append(s.moves, pendingMove{until: now.Add(settleTime), rate: rate, slots: slots})
}

// prune removes the moves that are older than settleTime.
func (s *pendingMoves) prune(now time.Time) {
	kept := s.moves[:0]
	for _, m := range s.moves {
		if now.Before(m.until) {
			kept = append(kept, m)
		}
	}
	s.moves = kept
}

// rate returns the load of the pending moves, in requests per second.
func (s *pendingMoves) rate(now time.Time) float64 {
	s.prune(now)
	sum := 0.0
	for _, m := range s.moves {
		sum += m.rate
	}
	return sum
}

// slots returns the number of slots of the pending moves.
func (s *pendingMoves) slots(now time.Time) int {
	s.prune(now)
	sum := 0
	for _, m := range s.moves {
		sum += m.slots
	}
	return sum
}
