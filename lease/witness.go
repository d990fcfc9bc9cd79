package lease

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Witness is the side of a daemon that others renew their leases with. It is
// not safe for concurrent use.
type Witness struct {
	self    ident.Incarnation
	terms   Terms
	started time.Time
	last    map[ident.Incarnation]time.Time
	fenced  map[ident.Incarnation]time.Time
}

// NewWitness returns the witness of a daemon that starts now.
func NewWitness(self ident.Incarnation, terms Terms, now time.Time) *Witness {
	return &Witness{
		self:    self,
		terms:   terms,
		started: now,
		last:    make(map[ident.Incarnation]time.Time),
		fenced:  make(map[ident.Incarnation]time.Time),
	}
}

// Renew takes a renewal and reports whether the witness promises anything. A
// member that it has voted against is refused for good.
func (w *Witness) Renew(now time.Time, owner ident.Incarnation) bool {
	if _, ok := w.fenced[owner]; ok {
		return false
	}
	w.last[owner] = now
	return true
}

// Vote reports whether the owner's lease has ended as far as the named witness
// knows. The named one may be an earlier run of this daemon on the same host:
// its promises ended a lease after this run began at the latest, and nobody
// makes new ones in its name. A vote is a promise never to renew for the owner.
func (w *Witness) Vote(now time.Time, owner, named ident.Incarnation) bool {
	if named.Host != w.self.Host {
		return false
	}
	if _, ok := w.fenced[owner]; !ok {
		since := w.started
		if last, ok := w.last[owner]; ok && last.After(since) {
			since = last
		}
		if now.Sub(since) < w.terms.wait() {
			return false
		}
	}
	w.fenced[owner] = now
	return true
}

// Wait returns how long until the witness may vote against the owner; zero when
// it may now.
func (w *Witness) Wait(now time.Time, owner ident.Incarnation) time.Duration {
	if _, ok := w.fenced[owner]; ok {
		return 0
	}
	since := w.started
	if last, ok := w.last[owner]; ok && last.After(since) {
		since = last
	}
	return max(0, w.terms.wait()-now.Sub(since))
}

// Forget drops members that were not heard of for the given time and that keep
// does not hold on to.
func (w *Witness) Forget(now time.Time, age time.Duration, keep func(ident.Incarnation) bool) {
	for inc, last := range w.last {
		if now.Sub(last) > age && !keep(inc) {
			delete(w.last, inc)
		}
	}
	for inc, at := range w.fenced {
		if now.Sub(at) > age && !keep(inc) {
			delete(w.fenced, inc)
		}
	}
}
