package grant

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// grants is the set of spans granted last, with its revision.
type grants struct {
	revision uint64
	spans    []Span
	made     bool
	// from is the slice that spans was made of, to see that nothing changed
	// without comparing.
	from []core.ServedShard
	// sent lists the revisions that the upstream may still act on.
	sent []sentGrant
}

// sentGrant is one revision as it was sent to the upstream.
type sentGrant struct {
	revision uint64
	spans    []Span
	expires  time.Time
}

// newGrants starts at a random revision, so that an upstream never takes the
// revisions of two runs of the daemon for each other.
func newGrants() grants {
	return grants{revision: rand.Uint64N(1<<52) + 1}
}

// note remembers that the newest revision was sent.
func (g *grants) note(expires time.Time) {
	if n := len(g.sent); n > 0 && g.sent[n-1].revision == g.revision {
		g.sent[n-1].expires = expires
		return
	}
	g.sent = append(g.sent, sentGrant{revision: g.revision, spans: g.spans, expires: expires})
}

// settle forgets revisions that have expired or that the upstream has
// replaced by the one it has. It reports whether there were any.
func (g *grants) settle(have uint64, now time.Time) bool {
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

// update takes over the holdings of a service. The revision rises when they
// differ from the last ones.
func (g *grants) update(holdings []core.ServedShard, service ident.Service) {
	if g.made && sameSlice(g.from, holdings) {
		return
	}
	g.from = holdings
	spans := newSpans(holdings, service)
	if !g.made || !slices.Equal(spans, g.spans) {
		g.revision++
		g.spans, g.made = spans, true
	}
}

// sameSlice reports whether a and b are one slice. A view's slices never
// change, so they hold the same then.
func sameSlice(a, b []core.ServedShard) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// newSpans joins neighbouring slots of one epoch.
func newSpans(holdings []core.ServedShard, service ident.Service) []Span {
	own := make([]core.ServedShard, 0, len(holdings))
	for _, h := range holdings {
		if h.Shard.Service == service {
			own = append(own, h)
		}
	}
	slices.SortFunc(own, func(a, b core.ServedShard) int { return cmp.Compare(a.Shard.Slot, b.Shard.Slot) })
	var spans []Span
	for _, h := range own {
		if n := len(spans); n > 0 && spans[n-1].Last+1 == h.Shard.Slot && spans[n-1].Epoch == h.Epoch {
			spans[n-1].Last = h.Shard.Slot
			continue
		}
		spans = append(spans, Span{First: h.Shard.Slot, Last: h.Shard.Slot, Epoch: h.Epoch})
	}
	return spans
}
