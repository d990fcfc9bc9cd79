package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Share is the part of some keys that a member should get.
type Share struct {
	Host   ident.Host
	Weight float64
}

// Piece is a range and the member that should own it.
type Piece struct {
	Span atlas.Span
	To   ident.Host
}

// quietRate is the rate, in calls per second, that all keys together are given
// besides what was measured, so that keys without calls are divided evenly.
const quietRate = 1.0

// Divide gives ranges to members, each a run of neighbouring keys whose load is
// its share of the whole. Members without weight get nothing; without any
// member that has weight nothing is given.
func Divide(spans []atlas.Span, heat *Heat, shares []Share) []Piece {
	weight := 0.0
	for _, s := range shares {
		weight += max(0, s.Weight)
	}
	if weight <= 0 {
		return nil
	}
	base := quietRate / atlas.Space
	load := 0.0
	for _, s := range spans {
		load += heat.Rate(s) + base*float64(s.Size())
	}
	var pieces []Piece
	at := 0
	left := load * max(0, shares[0].Weight) / weight
	for _, span := range spans {
		for {
			for at < len(shares)-1 && left <= 0 {
				at++
				left += load * max(0, shares[at].Weight) / weight
			}
			size := heat.Rate(span) + base*float64(span.Size())
			if at == len(shares)-1 || size <= left {
				left -= size
				pieces = append(pieces, Piece{Span: span, To: shares[at].Host})
				break
			}
			cut := heat.Split(span, left, base)
			part := atlas.NewSpan(span.From, cut)
			left = 0
			pieces = append(pieces, Piece{Span: part, To: shares[at].Host})
			if cut == span.To {
				break
			}
			span = atlas.NewSpan(cut+1, span.To)
		}
	}
	return joinPieces(pieces)
}

// joinPieces joins neighbouring pieces of one member.
func joinPieces(pieces []Piece) []Piece {
	var out []Piece
	for _, p := range pieces {
		if n := len(out); n > 0 && out[n-1].To == p.To && out[n-1].Span.To+1 == p.Span.From {
			out[n-1].Span.To = p.Span.To
			continue
		}
		out = append(out, p)
	}
	return out
}

const (
	// fillPart is the part of a taker's weight that keys which lose their owner
	// may fill: others may lose theirs at the same time.
	fillPart = 0.5
	// leastTakers is the least number of takers, so that an error in the load
	// doesn't burden a single one.
	leastTakers = 2
)

// Choose picks the members that take keys with the given load, in calls per
// second; weights are their free rates. Few takers keep ranges whole: each cut
// makes the ownership table longer for good. The choice is random, by weight, so
// that several owners that leave together burden different members.
func Choose(shares []Share, load float64, rng *rand.Rand) []Share {
	type drawn struct {
		index int
		rank  float64
	}
	var draws []drawn
	for i, s := range shares {
		if s.Weight > 0 {
			draws = append(draws, drawn{i, rng.ExpFloat64() / s.Weight})
		}
	}
	slices.SortFunc(draws, func(a, b drawn) int { return cmp.Compare(a.rank, b.rank) })
	filled, n := 0.0, 0
	for n < len(draws) && (n < leastTakers || filled < load) {
		filled += fillPart * shares[draws[n].index].Weight
		n++
	}
	slices.SortFunc(draws[:n], func(a, b drawn) int { return cmp.Compare(a.index, b.index) })
	chosen := make([]Share, 0, n)
	for _, d := range draws[:n] {
		chosen = append(chosen, shares[d.index])
	}
	return chosen
}
