package atlas

import (
	"fmt"
	"slices"
)

// Point is a key. Keys are numbers and ordered.
type Point = uint32

// Space is the number of keys in the key space. Keys run from 0 to Space-1.
const Space = 1 << 16

// Span is a range of keys. From and To are both included.
type Span struct {
	_    struct{} `cbor:",toarray"`
	From Point
	To   Point
}

// NewSpan returns the range from one key to another, both included.
func NewSpan(from, to Point) Span { return Span{From: from, To: to} }

// Whole returns the range of all keys.
func Whole() Span { return Span{From: 0, To: Space - 1} }

// Size returns the number of keys in the range.
func (s Span) Size() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether the range contains a key.
func (s Span) Contains(p Point) bool { return s.From <= p && p <= s.To }

// Overlaps reports whether two ranges overlap.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Intersect returns the intersection of two ranges; ok is false when they do not
// overlap.
func (s Span) Intersect(o Span) (cut Span, ok bool) {
	cut = Span{From: max(s.From, o.From), To: min(s.To, o.To)}
	return cut, cut.From <= cut.To
}

// String returns "from-to".
func (s Span) String() string { return fmt.Sprintf("%d-%d", s.From, s.To) }

// isValid reports whether the range is not empty and lies within the key space.
func (s Span) isValid() bool { return s.From <= s.To && s.To < Space }

// Subtract returns the keys of spans that are in none of the others, as ranges
// in ascending order.
func Subtract(spans, others []Span) []Span {
	rest := slices.Clone(spans)
	for _, o := range others {
		var next []Span
		for _, s := range rest {
			if !s.Overlaps(o) {
				next = append(next, s)
				continue
			}
			if s.From < o.From {
				next = append(next, Span{From: s.From, To: o.From - 1})
			}
			if s.To > o.To {
				next = append(next, Span{From: o.To + 1, To: s.To})
			}
		}
		rest = next
	}
	slices.SortFunc(rest, func(a, b Span) int { return int(a.From) - int(b.From) })
	return rest
}

// Merge merges ranges that overlap or adjoin and returns them in ascending
// order.
func Merge(spans []Span) []Span {
	sorted := slices.Clone(spans)
	slices.SortFunc(sorted, func(a, b Span) int { return int(a.From) - int(b.From) })
	var out []Span
	for _, s := range sorted {
		if n := len(out); n > 0 && s.From <= out[n-1].To+1 {
			out[n-1].To = max(out[n-1].To, s.To)
			continue
		}
		out = append(out, s)
	}
	return out
}

// Keys returns the total number of keys in ranges that do not overlap.
func Keys(spans []Span) int {
	n := 0
	for _, s := range spans {
		n += s.Size()
	}
	return n
}
