package lease

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Holder tracks the renewals of a member's own lease. It is not safe for
// concurrent use.
type Holder struct {
	terms     Terms
	witnesses []ident.Incarnation
	// lastSent is, for each witness, the time at which the newest renewal that
	// the witness acknowledged was sent.
	lastSent map[ident.Incarnation]time.Time
}

// NewHolder returns the holder of a lease that has no witnesses yet.
func NewHolder(terms Terms) *Holder {
	return &Holder{terms: terms, lastSent: make(map[ident.Incarnation]time.Time)}
}

// SetWitnesses sets the witnesses that the lease depends on. Renewals that the
// witnesses have acknowledged so far remain valid.
func (h *Holder) SetWitnesses(witnesses []ident.Incarnation) {
	h.witnesses = slices.Clone(witnesses)
}

// Witnesses returns the witnesses that the lease depends on.
func (h *Holder) Witnesses() []ident.Incarnation { return h.witnesses }

// RecordRenewal records that a daemon acknowledged the renewal that was sent at the
// given time. The acknowledgement of a daemon that is not a witness is kept and
// counts once SetWitnesses makes the daemon a witness.
func (h *Holder) RecordRenewal(by ident.Incarnation, sent time.Time) {
	if sent.After(h.lastSent[by]) {
		h.lastSent[by] = sent
	}
}

// Prune drops the renewals of daemons that are not witnesses and for which
// keep returns false.
func (h *Holder) Prune(keep func(ident.Incarnation) bool) {
	for inc := range h.lastSent {
		if !keep(inc) && !slices.Contains(h.witnesses, inc) {
			delete(h.lastSent, inc)
		}
	}
}

// Expiry returns when the lease expires, or the zero time if no majority of the
// witnesses has acknowledged a renewal.
func (h *Holder) Expiry() time.Time { return h.ExpiryWith(h.witnesses) }

// ExpiryWith returns when the lease would expire if it depended on the given
// witnesses. The length counts from the sending of the oldest renewal among the
// newest ones that form a majority: that long, none of the majority votes
// against the member.
func (h *Holder) ExpiryWith(witnesses []ident.Incarnation) time.Time {
	if len(witnesses) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(witnesses))
	for _, w := range witnesses {
		times = append(times, h.lastSent[w])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	majoritySent := times[Majority(len(witnesses))-1]
	if majoritySent.IsZero() {
		return time.Time{}
	}
	return majoritySent.Add(h.terms.Length)
}

// LastRenewal returns when the newest renewal that the witness acknowledged was
// sent, or the zero time if it has acknowledged none.
func (h *Holder) LastRenewal(by ident.Incarnation) time.Time { return h.lastSent[by] }
