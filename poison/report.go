package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Merge takes the suspects that a peer reports.
func (q *Quarantine) Merge(report *wire.Suspects) {
	if report == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range report.Items[:min(len(report.Items), q.max)] {
		q.mergeOne(&report.Items[i])
	}
}

func (q *Quarantine) mergeOne(item *wire.Suspect) {
	about := subject{service: item.Service, fingerprint: item.Fingerprint}
	known := q.find(about)
	switch {
	case item.Left <= 0:
		return
	case item.Lifted:
		if known != nil && !known.lifted {
			q.lift(known)
		}
		return
	case known != nil && known.lifted && containsAll(known.crashes, item.Crashes):
		return
	}
	expires := q.clock.Now().Add(min(item.Left, q.expiry))
	if known != nil && !known.lifted && known.expires.After(expires) {
		expires = known.expires
	}
	for _, crash := range item.Crashes[:min(len(item.Crashes), maxCrashes)] {
		q.suspect(about, crash, item.Alone)
	}
	if s := q.find(about); s != nil {
		s.expires = expires
	}
}

func containsAll(all, some []uint64) bool {
	for _, c := range some {
		if !slices.Contains(all, c) {
			return false
		}
	}
	return true
}

// Report returns what peers should know, as far as one message holds it; nil
// when there is nothing.
func (q *Quarantine) Report() *wire.Suspects {
	items := q.List()
	items = items[:min(len(items), maxReport)]
	if len(items) == 0 {
		return nil
	}
	return &wire.Suspects{Items: items}
}

// About returns what peers should know of some fingerprints of a service, as far as
// one message holds it; nil when there is nothing. An entry that began anew is
// preceded by word that the one before was lifted.
func (q *Quarantine) About(service ident.Service, fingerprints []uint64) *wire.Suspects {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var items []wire.Suspect
	for _, fingerprint := range fingerprints {
		about := subject{service: service, fingerprint: fingerprint}
		s := q.find(about)
		if s == nil || len(items)+2 > maxAbout {
			continue
		}
		if s.again {
			items = append(items, wire.Suspect{Service: service, Fingerprint: fingerprint, Left: liftedTime, Lifted: true})
		}
		items = append(items, item(about, s, s.expires.Sub(now)))
	}
	if len(items) == 0 {
		return nil
	}
	return &wire.Suspects{Items: items}
}

// item returns an entry as peers and operators see it.
func item(about subject, s *suspect, left time.Duration) wire.Suspect {
	return wire.Suspect{
		Service:     about.service,
		Fingerprint: about.fingerprint,
		Crashes:     slices.Clone(s.crashes),
		Alone:       s.alone,
		Left:        left,
		Lifted:      s.lifted,
	}
}

// List returns all entries, the condemned ones first.
func (q *Quarantine) List() []wire.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	items := make([]wire.Suspect, 0, len(q.suspects))
	for about, s := range q.suspects {
		left := s.expires.Sub(now)
		if left <= 0 {
			delete(q.suspects, about)
			continue
		}
		items = append(items, item(about, s, left))
	}
	slices.SortFunc(items, func(a, b wire.Suspect) int {
		return cmp.Or(
			cmp.Compare(rank(&b), rank(&a)),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return items
}

// rank orders entries by how much they matter to peers and operators.
func rank(s *wire.Suspect) int {
	switch {
	case IsCondemned(*s):
		return 2
	case !s.Lifted:
		return 1
	}
	return 0
}
