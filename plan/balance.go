package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// slack is how far the utilization of an owner may lie above the fleet's
	// before keys are moved, as a part of its capacity.
	slack = 0.10
	// busyLoad is the utilization below which no keys are moved: a call hardly waits
	// there, while a move leaves its keys without upstream for up to a second.
	busyLoad = 0.70
	// suddenNoise is how many standard deviations of a rate, measured over about a
	// second, an excess must have to be more than chance: a member looks five times a
	// second, so that smaller ones come by chance every few seconds. lastingNoise is
	// that number for a rate averaged over several seconds, in which chance has time to
	// even out.
	suddenNoise  = 3.0
	lastingNoise = 2.0
	// leastSteady is the time, in seconds, over which a rate must be averaged for that.
	leastSteady = 1.5
	// leastRate is the least rate, in calls per second, that is worth a move.
	leastRate = 2.0
	// takePart is the part of the room of a taker that one giver may fill: others
	// may give at the same time.
	takePart = 0.5
	// maxTakers is the number of members among which an excess is divided.
	maxTakers = 4
	// maxRows is the number of ranges of one member beyond which nothing is cut
	// out of them: the answer to a heartbeat has room for some eighty.
	maxRows = 48
	// coldDiscount is the part of its capacity that a member counts for while its
	// upstream is slow after a start.
	coldDiscount = 0.5
)

// Member is one member's load as the others see it.
type Member struct {
	Host ident.Host
	// Offered is the rate of calls for its keys, Capacity the rate that its
	// upstream can serve, both per second.
	Offered, Capacity float64
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
	// Rows is the number of ranges that the member owns.
	Rows int
	// Keys is the number of keys that the member owns.
	Keys int
	// Steady averages Offered for the member that decides; nil for others.
	Steady *Steady
}

// room returns the capacity that a member counts for.
func (m Member) room() float64 {
	if m.Cold > 0 {
		return m.Capacity * coldDiscount
	}
	return m.Capacity
}

// excess returns the rate that a member is offered beyond a utilization; zero where
// that may be chance, or is too little for a move. Chance shrinks with the time over
// which the rate was measured.
func (m Member) excess(level float64) float64 {
	least := max(leastRate, slack*m.room())
	if excess := m.Offered - m.room()*level; excess >= max(least, suddenNoise*math.Sqrt(m.Offered)) {
		return excess
	}
	steady, seconds := m.Steady.rate()
	if seconds < leastSteady {
		return 0
	}
	if excess := steady - m.room()*level; excess >= max(least, lastingNoise*math.Sqrt(steady/seconds)) {
		return excess
	}
	return 0
}

// Complete gives members whose capacity was not measured yet the mean capacity of
// the others' slots.
func Complete(members []Member) []Member {
	capacity, slots := 0.0, 0
	for _, m := range members {
		if m.Capacity > 0 {
			capacity += m.Capacity
			slots += m.Slots
		}
	}
	if slots == 0 {
		return members
	}
	for i := range members {
		if members[i].Capacity <= 0 {
			members[i].Capacity = capacity / float64(slots) * float64(members[i].Slots)
		}
	}
	return members
}

// Moves returns the ranges that the member self should give away now, to whom: its
// excess, in a few parts. Each taker is filled in part only, and members that give
// at the same time begin with different takers.
func Moves(self ident.Host, rows []atlas.Row, heat *Heat, members []Member) []Piece {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Host == self })
	if i < 0 || len(members) < 2 {
		return nil
	}
	offered, room := 0.0, 0.0
	for _, m := range members {
		offered += m.Offered
		room += m.room()
	}
	if room <= 0 || offered <= 0 {
		return nil
	}
	level := max(offered/room, busyLoad)
	excess := members[i].excess(level)
	if excess <= 0 {
		return nil
	}
	var takers []Member
	for _, m := range members {
		// The member's own excess may be that of its mean, with room at the moment.
		if m.Host != self && (m.room()*level-m.Offered)*takePart >= leastRate && m.Rows < maxRows {
			takers = append(takers, m)
		}
	}
	slices.SortFunc(takers, func(a, b Member) int {
		return cmp.Compare(b.room()*level-b.Offered, a.room()*level-a.Offered)
	})
	var pieces []Piece
	left := slices.Clone(rows)
	part := max(excess/maxTakers, 2*leastRate)
	for k := range takers {
		taker := takers[(i+k)%len(takers)]
		amount := min((taker.room()*level-taker.Offered)*takePart, part, excess)
		if amount < leastRate {
			continue
		}
		var given []atlas.Span
		given, left = give(left, heat, amount)
		for _, s := range given {
			pieces = append(pieces, Piece{Span: s, To: taker.Host})
			excess -= heat.Rate(s)
		}
	}
	return pieces
}

// give picks ranges that carry about the amount, as few as possible, and returns
// them and the rows that are left. It prefers a whole row, then the end of one.
func give(rows []atlas.Row, heat *Heat, amount float64) ([]atlas.Span, []atlas.Row) {
	best, bestRate := -1, 0.0
	rates := make([]float64, len(rows))
	for i, r := range rows {
		rates[i] = heat.Rate(r.Span)
		if rates[i] <= amount*1.15 && rates[i] >= amount*0.6 && rates[i] > bestRate {
			best, bestRate = i, rates[i]
		}
	}
	if best >= 0 {
		span := rows[best].Span
		return []atlas.Span{span}, slices.Delete(slices.Clone(rows), best, best+1)
	}
	// The row with the most load is cut, so that small ranges stay whole.
	for i := range rows {
		if rates[i] > amount && (best < 0 || rates[i] > rates[best]) {
			best = i
		}
	}
	if best < 0 {
		return giveSmall(rows, rates, amount)
	}
	row := rows[best]
	cut := heat.Split(row.Span, amount, 0)
	if cut >= row.Span.To {
		return nil, rows
	}
	head := atlas.NewSpan(row.Span.From, cut)
	if rate := heat.Rate(head); rate > amount*1.5 {
		// The last key of the head is a hot one: the head without it, or the tail
		// behind it, may be closer to the amount.
		return giveAround(rows, best, heat, cut, amount)
	}
	rest := slices.Clone(rows)
	rest[best].Span.From = cut + 1
	return []atlas.Span{head}, rest
}

// giveAround gives away the part of a row before or behind a hot key.
func giveAround(rows []atlas.Row, i int, heat *Heat, hot atlas.Point, amount float64) ([]atlas.Span, []atlas.Row) {
	span := rows[i].Span
	rest := slices.Clone(rows)
	tail := atlas.Span{}
	tailRate := 0.0
	if hot < span.To {
		tail = atlas.NewSpan(hot+1, span.To)
		tailRate = heat.Rate(tail)
	}
	if tailRate >= amount*0.3 && tailRate <= amount*1.15 {
		rest[i].Span.To = hot
		return []atlas.Span{tail}, rest
	}
	if hot == span.From {
		if tailRate > amount {
			// The hot key is the first one: cut from the other end.
			cut := cutTail(tail, heat, amount)
			rest[i].Span.To = cut.From - 1
			return []atlas.Span{cut}, rest
		}
		return nil, rows
	}
	head := atlas.NewSpan(span.From, hot-1)
	if heat.Rate(head) < leastRate {
		return nil, rows
	}
	rest[i].Span.From = hot
	return []atlas.Span{head}, rest
}

// cutTail returns the end of a range that carries about the amount.
func cutTail(s atlas.Span, heat *Heat, amount float64) atlas.Span {
	keep := heat.Rate(s) - amount
	cut := heat.Split(s, keep, 0)
	if cut >= s.To {
		return s
	}
	return atlas.NewSpan(cut+1, s.To)
}

// giveSmall gives whole rows, the busiest first, until the amount is reached.
func giveSmall(rows []atlas.Row, rates []float64, amount float64) ([]atlas.Span, []atlas.Row) {
	order := make([]int, len(rows))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	var given []atlas.Span
	gone := make(map[int]bool)
	for _, i := range order {
		if rates[i] <= 0 || rates[i] > amount || len(given) >= maxGiven {
			continue
		}
		given = append(given, rows[i].Span)
		gone[i] = true
		amount -= rates[i]
	}
	var rest []atlas.Row
	for i, r := range rows {
		if !gone[i] {
			rest = append(rest, r)
		}
	}
	return given, rest
}

// maxGiven is the number of ranges that go to one member at a time.
const maxGiven = 4
