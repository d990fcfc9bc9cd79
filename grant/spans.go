package grant

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// grants holds the latest granted spans with their revision, and the sent revisions that are still valid.
type grants struct {
	revision    uint64
	spans       []Span
	initialized bool
	// source is the slice that spans was computed from. It serves to detect an unchanged input without comparing
	// the elements.
	source []core.ServedShard
	// sent lists the revisions that the upstream may still act on.
	sent []sentGrant
}

// sentGrant is a revision that was sent to the upstream, with the time at which it expires.
type sentGrant struct {
	revision uint64
	spans    []Span
	expires  time.Time
}

// newGrants returns an empty set with a random first revision, so that an upstream does not confuse revisions of
// different runs of the daemon.
func newGrants() grants {
	return grants{revision: rand.Uint64N(1<<52) + 1}
}

// recordSent records that the latest revision was sent and when it expires.
func (g *grants) recordSent(expires time.Time) {
	if n := len(g.sent); n > 0 && g.sent[n-1].revision == g.revision {
		g.sent[n-1].expires = expires
		return
	}
	g.sent = append(g.sent, sentGrant{revision: g.revision, spans: g.spans, expires: expires})
}

// prune removes sent revisions that have expired or that the upstream has replaced by the latest one, which it
// confirms with have. It reports whether any were removed.
func (g *grants) prune(have uint64, now time.Time) bool {
	before := len(g.sent)
	g.sent = slices.DeleteFunc(g.sent, func(s sentGrant) bool {
		return !now.Before(s.expires) || (have == g.revision && s.revision != have)
	})
	return len(g.sent) < before
}

// covers reports whether the upstream may still act on the slot.
func (g *grants) covers(slot ident.Slot) bool {
	for _, s := range g.sent {
		for _, span := range s.spans {
			if span.First <= slot && slot <= span.Last {
				return true
			}
		}
	}
	return false
}

// update computes the spans from the holdings of a service. It increments the revision when they differ from the
// previous spans.
func (g *grants) update(holdings []core.ServedShard, service ident.Service) {
	if g.initialized && sameSlice(g.source, holdings) {
		return
	}
	g.source = holdings
	spans := newSpans(holdings, service)
	if !g.initialized || !slices.Equal(spans, g.spans) {
		g.revision++
		g.spans, g.initialized = spans, true
	}
}

// sameSlice reports whether a and b share their memory and length. The slices of a view are never modified, so equal
// identity means equal content.
func sameSlice(a, b []core.ServedShard) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// newSpans merges adjacent slots of the same epoch into spans.
func newSpans(holdings []core.ServedShard, service ident.Service) []Span {
	owned := make([]core.ServedShard, 0, len(holdings))
	for _, h := range holdings {
		if h.Shard.Service == service {
			owned = append(owned, h)
		}
	}
	slices.SortFunc(owned, func(a, b core.ServedShard) int { return cmp.Compare(a.Shard.Slot, b.Shard.Slot) })
	var spans []Span
	for _, h := range owned {
		if n := len(spans); n > 0 && spans[n-1].Last+1 == h.Shard.Slot && spans[n-1].Epoch == h.Epoch {
			spans[n-1].Last = h.Shard.Slot
			continue
		}
		spans = append(spans, Span{First: h.Shard.Slot, Last: h.Shard.Slot, Epoch: h.Epoch})
	}
	return spans
}
