package lease

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Holder is the member's side of its lease. It is not safe for concurrent use.
type Holder struct {
	terms     Terms
	witnesses []ident.Incarnation
	sent      map[ident.Incarnation]time.Time
}

// NewHolder returns the holder of a lease that has no witnesses yet.
func NewHolder(terms Terms) *Holder {
	return &Holder{terms: terms, sent: make(map[ident.Incarnation]time.Time)}
}

// Name sets the witnesses that the lease depends on. What was renewed with
// those that stay is kept.
func (h *Holder) Name(witnesses []ident.Incarnation) {
	h.witnesses = slices.Clone(witnesses)
}

// Witnesses returns the witnesses that the lease depends on.
func (h *Holder) Witnesses() []ident.Incarnation { return h.witnesses }

// Renewed takes a witness's answer to the renewal that was sent at the given
// time. Witnesses that are not named yet count once they are.
func (h *Holder) Renewed(by ident.Incarnation, sent time.Time) {
	if sent.After(h.sent[by]) {
		h.sent[by] = sent
	}
}

// Forget drops what was renewed with daemons other than the given ones.
func (h *Holder) Forget(keep func(ident.Incarnation) bool) {
	for inc := range h.sent {
		if !keep(inc) && !slices.Contains(h.witnesses, inc) {
			delete(h.sent, inc)
		}
	}
}

// Until returns when the lease ends; the zero time when it was never held.
func (h *Holder) Until() time.Time { return h.UntilWith(h.witnesses) }

// UntilWith returns when the lease would end with the given witnesses.
func (h *Holder) UntilWith(witnesses []ident.Incarnation) time.Time {
	if len(witnesses) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(witnesses))
	for _, w := range witnesses {
		times = append(times, h.sent[w])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	nth := times[Majority(len(witnesses))-1]
	if nth.IsZero() {
		return time.Time{}
	}
	return nth.Add(h.terms.Length)
}

// Answers returns when the witness was last heard, as the time of the renewal
// that it answered; the zero time if never.
func (h *Holder) Answers(by ident.Incarnation) time.Time { return h.sent[by] }
