package lease

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Witness acknowledges the lease renewals of other members and votes against
// members whose leases have expired. It is not safe for concurrent use.
type Witness struct {
	self    ident.Incarnation
	terms   Terms
	started time.Time
	// lastRenewal is the time at which each member's newest renewal arrived.
	lastRenewal map[ident.Incarnation]time.Time
	// voted holds the members that this witness has voted against, with the
	// time of the last vote.
	voted map[ident.Incarnation]time.Time
}

// NewWitness returns the witness of a daemon that starts now.
func NewWitness(self ident.Incarnation, terms Terms, now time.Time) *Witness {
	return &Witness{
		self:        self,
		terms:       terms,
		started:     now,
		lastRenewal: make(map[ident.Incarnation]time.Time),
		voted:       make(map[ident.Incarnation]time.Time),
	}
}

// Renew handles a renewal and reports whether the witness acknowledges it, that
// is, promises not to vote against the owner for the length of the lease. It
// refuses every renewal of a member that it has voted against.
func (w *Witness) Renew(now time.Time, owner ident.Incarnation) bool {
	if _, ok := w.voted[owner]; ok {
		return false
	}
	w.lastRenewal[owner] = now
	return true
}

// Vote reports whether the given witness votes that the owner's lease has
// expired. A vote is a promise never to renew for the owner again. The witness
// may be an earlier incarnation of this daemon on the same host: its promises
// expired at the latest a vote timeout after this incarnation started, and no
// new promise is made in its name.
func (w *Witness) Vote(now time.Time, owner, witness ident.Incarnation) bool {
	if witness.Host != w.self.Host {
		return false
	}
	if _, ok := w.voted[owner]; !ok {
		since := w.started
		if last, ok := w.lastRenewal[owner]; ok && last.After(since) {
			since = last
		}
		if now.Sub(since) < w.terms.VoteTimeout() {
			return false
		}
	}
	w.voted[owner] = now
	return true
}

// VoteDelay returns the time until the witness may vote against the owner, or zero
// if it may vote now.
func (w *Witness) VoteDelay(now time.Time, owner ident.Incarnation) time.Duration {
	if _, ok := w.voted[owner]; ok {
		return 0
	}
	since := w.started
	if last, ok := w.lastRenewal[owner]; ok && last.After(since) {
		since = last
	}
	return max(0, w.terms.VoteTimeout()-now.Sub(since))
}

// Prune drops renewals and votes that are older than age and for whose member
// keep returns false.
func (w *Witness) Prune(now time.Time, age time.Duration, keep func(ident.Incarnation) bool) {
	for inc, last := range w.lastRenewal {
		if now.Sub(last) > age && !keep(inc) {
			delete(w.lastRenewal, inc)
		}
	}
	for inc, at := range w.voted {
		if now.Sub(at) > age && !keep(inc) {
			delete(w.voted, inc)
		}
	}
}
