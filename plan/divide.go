package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Share is a member and its weight in a division of keys.
type Share struct {
	Host   ident.Host
	Weight float64
}

// Assignment is a range and the member that should own it.
type Assignment struct {
	Span atlas.Span
	To   ident.Host
}

// baselineRate is the rate, in calls per second, that is added to the measured rates
// for all keys together, so that keys without calls are divided evenly.
const baselineRate = 1.0

// Divide assigns ranges to members. Each member gets a run of neighbouring keys whose
// load is in proportion to its weight. Members without weight get nothing. If no member
// has weight, Divide returns nil.
func Divide(spans []atlas.Span, heat *Heat, shares []Share) []Assignment {
	weight := 0.0
	for _, s := range shares {
		weight += max(0, s.Weight)
	}
	if weight <= 0 {
		return nil
	}
	baseline := baselineRate / atlas.Space
	load := 0.0
	for _, s := range spans {
		load += heat.Rate(s) + baseline*float64(s.Size())
	}
	var pieces []Assignment
	at := 0
	left := load * max(0, shares[0].Weight) / weight
	for _, span := range spans {
		for {
			for at < len(shares)-1 && left <= 0 {
				at++
				left += load * max(0, shares[at].Weight) / weight
			}
			size := heat.Rate(span) + baseline*float64(span.Size())
			if at == len(shares)-1 || size <= left {
				left -= size
				pieces = append(pieces, Assignment{Span: span, To: shares[at].Host})
				break
			}
			cut := heat.Split(span, left, baseline)
			part := atlas.NewSpan(span.From, cut)
			left = 0
			pieces = append(pieces, Assignment{Span: part, To: shares[at].Host})
			if cut == span.To {
				break
			}
			span = atlas.NewSpan(cut+1, span.To)
		}
	}
	return mergeAssignments(pieces)
}

// mergeAssignments merges adjacent assignments of the same member.
func mergeAssignments(pieces []Assignment) []Assignment {
	var out []Assignment
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
	// orphanFillShare is the fraction of a receiver's weight that keys which lose their
	// owner may fill, since other keys may lose theirs at the same time.
	orphanFillShare = 0.5
	// minReceivers is the lowest number of receivers, so that an error in the load
	// estimate doesn't burden a single member.
	minReceivers = 2
)

// ChooseReceivers selects the members that receive keys with the given load, in calls per
// second. The weights of the shares are the spare rates of the members. ChooseReceivers selects
// few members to keep ranges whole, because each split lengthens the ownership table
// permanently. The selection is random, weighted by spare rate, so that several owners
// that leave at once burden different members.
func ChooseReceivers(shares []Share, load float64, rng *rand.Rand) []Share {
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
	for n < len(draws) && (n < minReceivers || filled < load) {
		filled += orphanFillShare * shares[draws[n].index].Weight
		n++
	}
	slices.SortFunc(draws[:n], func(a, b drawn) int { return cmp.Compare(a.index, b.index) })
	chosen := make([]Share, 0, n)
	for _, d := range draws[:n] {
		chosen = append(chosen, shares[d.index])
	}
	return chosen
}
