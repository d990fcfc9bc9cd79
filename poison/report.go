package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Merge adds the suspects that a peer reports, and lifts the entries that the peer
// reports as lifted.
func (q *Quarantine) Merge(report *wire.Suspects) {
	if report == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range report.Items[:min(len(report.Items), q.maxEntries)] {
		q.mergeItem(&report.Items[i])
	}
}

// mergeItem merges one reported entry. A report does not extend an entry beyond
// the expiry of this quarantine, does not shorten an entry, and does not restore
// an entry that was lifted unless it names a crash that the entry lacks.
func (q *Quarantine) mergeItem(item *wire.Suspect) {
	id := suspectID{service: item.Service, fingerprint: item.Fingerprint}
	existing := q.lookup(id)
	switch {
	case item.Left <= 0:
		return
	case item.Lifted:
		if existing != nil && !existing.lifted {
			q.lift(existing)
		}
		return
	case existing != nil && existing.lifted && containsAll(existing.crashes, item.Crashes):
		return
	}
	expires := q.clock.Now().Add(min(item.Left, q.expiry))
	if existing != nil && !existing.lifted && existing.expires.After(expires) {
		expires = existing.expires
	}
	for _, crash := range item.Crashes[:min(len(item.Crashes), maxCrashes)] {
		q.addCrash(id, crash, item.Alone)
	}
	if s := q.lookup(id); s != nil {
		s.expires = expires
	}
}

// containsAll reports whether all contains each element of some.
func containsAll(all, some []uint64) bool {
	for _, c := range some {
		if !slices.Contains(all, c) {
			return false
		}
	}
	return true
}

// Report returns the entries to send to peers, blocked ones first and at most
// maxReportEntries, or nil if there are none.
func (q *Quarantine) Report() *wire.Suspects {
	items := q.List()
	items = items[:min(len(items), maxReportEntries)]
	if len(items) == 0 {
		return nil
	}
	return &wire.Suspects{Items: items}
}

// ReportFor returns the entries of the given fingerprints of a service to send to
// peers, at most maxTargetedEntries, or nil if there are none. An entry that
// replaces a lifted one is preceded by an item that lifts the previous entry, in
// case a peer has missed the report of it.
func (q *Quarantine) ReportFor(service ident.Service, fingerprints []uint64) *wire.Suspects {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var items []wire.Suspect
	for _, fingerprint := range fingerprints {
		id := suspectID{service: service, fingerprint: fingerprint}
		s := q.lookup(id)
		if s == nil || len(items)+2 > maxTargetedEntries {
			continue
		}
		if s.recreated {
			items = append(items, wire.Suspect{
				Service: service, Fingerprint: fingerprint, Left: liftedRetention, Lifted: true,
			})
		}
		items = append(items, toWire(id, s, s.expires.Sub(now)))
	}
	if len(items) == 0 {
		return nil
	}
	return &wire.Suspects{Items: items}
}

// ReportBlocked returns the blocked entries of a service to send to a peer that may not know
// them, at most maxTargetedEntries, or nil if there are none.
func (q *Quarantine) ReportBlocked(service ident.Service) *wire.Suspects {
	var items []wire.Suspect
	for _, item := range q.List() {
		if IsBlocked(item) && item.Service == service && len(items) < maxTargetedEntries {
			items = append(items, item)
		}
	}
	if len(items) == 0 {
		return nil
	}
	return &wire.Suspects{Items: items}
}

// toWire returns the form of an entry that peers and operators receive.
func toWire(id suspectID, s *suspect, left time.Duration) wire.Suspect {
	return wire.Suspect{
		Service:     id.service,
		Fingerprint: id.fingerprint,
		Crashes:     slices.Clone(s.crashes),
		Alone:       s.soleSuspect,
		Left:        left,
		Lifted:      s.lifted,
	}
}

// List returns all entries: first those that are blocked, then the other
// suspects, then those that were lifted.
func (q *Quarantine) List() []wire.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	items := make([]wire.Suspect, 0, len(q.suspects))
	for id, s := range q.suspects {
		left := s.expires.Sub(now)
		if left <= 0 {
			delete(q.suspects, id)
			continue
		}
		items = append(items, toWire(id, s, left))
	}
	slices.SortFunc(items, func(a, b wire.Suspect) int {
		return cmp.Or(
			cmp.Compare(priority(&b), priority(&a)),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return items
}

// priority returns the rank of an entry in List; entries of a higher rank come
// first.
func priority(s *wire.Suspect) int {
	switch {
	case IsBlocked(*s):
		return 2
	case !s.Lifted:
		return 1
	}
	return 0
}
