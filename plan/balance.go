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
	// overloadMargin is how far the utilization of an owner may exceed that of the
	// fleet before keys are moved, as a fraction of its capacity.
	overloadMargin = 0.10
	// minUtilization is the utilization below which no keys are moved. At that load
	// calls hardly wait, while a move leaves its keys without upstream for up to a
	// second.
	minUtilization = 0.70
	// currentSigmas is the number of standard deviations by which a rate measured over
	// about a second must exceed the limit to count as an excess. A member checks five
	// times a second, so smaller excesses occur by chance every few seconds.
	// averageSigmas is that number for a rate averaged over several seconds, in which
	// random fluctuations even out.
	currentSigmas = 3.0
	averageSigmas = 2.0
	// minAverageSeconds is the time, in seconds, over which a rate must be averaged for
	// averageSigmas to apply.
	minAverageSeconds = 1.5
	// minMoveRate is the lowest rate, in calls per second, for which a move is
	// worthwhile.
	minMoveRate = 2.0
	// moveFillShare is the fraction of the spare capacity of a receiver that one donor
	// may fill, since other donors may move keys to it at the same time.
	moveFillShare = 0.5
	// maxReceivers is the number of members among which an excess is divided.
	maxReceivers = 4
	// maxReceiverRows is the number of ranges with which a member receives no more of
	// them: the response to a heartbeat holds about eighty.
	maxReceiverRows = 48
	// coldCapacityFactor is the factor applied to the capacity of a member while its
	// upstream is still slow after a start.
	coldCapacityFactor = 0.5
)

// Member is the load of one member as known to the others.
type Member struct {
	Host ident.Host
	// Offered is the arrival rate of calls for its keys, Capacity the rate that its
	// upstream can serve, both per second.
	Offered, Capacity float64
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// Cold is the time for which the upstream will still be slow after its start.
	Cold time.Duration
	// Rows is the number of ranges that the member owns.
	Rows int
	// Keys is the number of keys that the member owns.
	Keys int
	// Steady is the average of Offered. It is set only for the member that plans its
	// moves and nil for others.
	Steady *RateAverage
}

// effectiveCapacity returns the capacity of a member, reduced while its upstream is
// cold.
func (m Member) effectiveCapacity() float64 {
	if m.Cold > 0 {
		return m.Capacity * coldCapacityFactor
	}
	return m.Capacity
}

// excess returns by how much the offered rate of a member exceeds the rate at the given
// utilization, level. It returns zero if the excess may be a random fluctuation or is
// too small for a move. The longer a rate was measured, the smaller its random
// fluctuations are.
func (m Member) excess(level float64) float64 {
	least := max(minMoveRate, overloadMargin*m.effectiveCapacity())
	if excess := m.Offered - m.effectiveCapacity()*level; excess >= max(least, currentSigmas*math.Sqrt(m.Offered)) {
		return excess
	}
	average, seconds := m.Steady.mean()
	if seconds < minAverageSeconds {
		return 0
	}
	if excess := average - m.effectiveCapacity()*level; excess >= max(least, averageSigmas*math.Sqrt(average/seconds)) {
		return excess
	}
	return 0
}

// FillMissingCapacity fills in missing capacities: a member whose capacity was not measured yet
// gets the mean capacity per slot of the others, times its slots.
func FillMissingCapacity(members []Member) []Member {
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

// Moves returns the ranges that the member self should move now, with their receivers.
// It splits the excess of the member into a few parts. Each receiver is filled only in
// part, and donors that move keys at the same time start with different receivers.
func Moves(self ident.Host, rows []atlas.Row, heat *Heat, members []Member) []Assignment {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Host == self })
	if i < 0 || len(members) < 2 {
		return nil
	}
	offered, capacity := 0.0, 0.0
	for _, m := range members {
		offered += m.Offered
		capacity += m.effectiveCapacity()
	}
	if capacity <= 0 || offered <= 0 {
		return nil
	}
	level := max(offered/capacity, minUtilization)
	excess := members[i].excess(level)
	if excess <= 0 {
		return nil
	}
	var receivers []Member
	for _, m := range members {
		// The member itself is left out: its excess may be one of the average rate, while
		// its present rate leaves spare capacity.
		if m.Host != self && (m.effectiveCapacity()*level-m.Offered)*moveFillShare >= minMoveRate &&
			m.Rows < maxReceiverRows {
			receivers = append(receivers, m)
		}
	}
	slices.SortFunc(receivers, func(a, b Member) int {
		return cmp.Compare(b.effectiveCapacity()*level-b.Offered, a.effectiveCapacity()*level-a.Offered)
	})
	var pieces []Assignment
	left := slices.Clone(rows)
	part := max(excess/maxReceivers, 2*minMoveRate)
	for k := range receivers {
		receiver := receivers[(i+k)%len(receivers)]
		amount := min((receiver.effectiveCapacity()*level-receiver.Offered)*moveFillShare, part, excess)
		if amount < minMoveRate {
			continue
		}
		var picked []atlas.Span
		picked, left = pickRanges(left, heat, amount)
		for _, s := range picked {
			pieces = append(pieces, Assignment{Span: s, To: receiver.Host})
			excess -= heat.Rate(s)
		}
	}
	return pieces
}

// pickRanges selects ranges that carry about the given rate, as few as possible, and
// returns them and the remaining rows. It prefers a whole row to a part of one, and the
// start of a row to another part.
func pickRanges(rows []atlas.Row, heat *Heat, amount float64) ([]atlas.Span, []atlas.Row) {
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
	// The busiest row is split, so that small ranges stay whole.
	for i := range rows {
		if rates[i] > amount && (best < 0 || rates[i] > rates[best]) {
			best = i
		}
	}
	if best < 0 {
		return pickWholeRows(rows, rates, amount)
	}
	row := rows[best]
	cut := heat.Split(row.Span, amount, 0)
	if cut >= row.Span.To {
		return nil, rows
	}
	head := atlas.NewSpan(row.Span.From, cut)
	if rate := heat.Rate(head); rate > amount*1.5 {
		// The last key of the head is a hot key. The head without it, or the tail after
		// it, may be closer to the amount.
		return pickNearHotKey(rows, best, heat, cut, amount)
	}
	rest := slices.Clone(rows)
	rest[best].Span.From = cut + 1
	return []atlas.Span{head}, rest
}

// pickNearHotKey selects the part of row i after or before a hot key, and returns it
// and the remaining rows. The hot key itself stays. If neither part carries a suitable
// rate, nothing is selected.
func pickNearHotKey(rows []atlas.Row, i int, heat *Heat, hot atlas.Point, amount float64) ([]atlas.Span, []atlas.Row) {
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
			// The hot key is the first key of the row: split off the end.
			cut := tailWithRate(tail, heat, amount)
			rest[i].Span.To = cut.From - 1
			return []atlas.Span{cut}, rest
		}
		return nil, rows
	}
	head := atlas.NewSpan(span.From, hot-1)
	if heat.Rate(head) < minMoveRate {
		return nil, rows
	}
	rest[i].Span.From = hot
	return []atlas.Span{head}, rest
}

// tailWithRate returns the end of a range that carries about the given rate.
func tailWithRate(s atlas.Span, heat *Heat, amount float64) atlas.Span {
	keep := heat.Rate(s) - amount
	cut := heat.Split(s, keep, 0)
	if cut >= s.To {
		return s
	}
	return atlas.NewSpan(cut+1, s.To)
}

// pickWholeRows selects whole rows, the busiest first, until they carry the given rate,
// and returns them and the remaining rows.
func pickWholeRows(rows []atlas.Row, rates []float64, amount float64) ([]atlas.Span, []atlas.Row) {
	order := make([]int, len(rows))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	var picked []atlas.Span
	removed := make(map[int]bool)
	for _, i := range order {
		if rates[i] <= 0 || rates[i] > amount || len(picked) >= maxRangesPerReceiver {
			continue
		}
		picked = append(picked, rows[i].Span)
		removed[i] = true
		amount -= rates[i]
	}
	var rest []atlas.Row
	for i, r := range rows {
		if !removed[i] {
			rest = append(rest, r)
		}
	}
	return picked, rest
}

// maxRangesPerReceiver is the number of ranges that go to one member at a time if
// several are needed to carry the rate.
const maxRangesPerReceiver = 4
