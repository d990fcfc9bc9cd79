package daemon

import (
	"sync"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// holds remembers what a view alone does not tell: since which epoch the
// member holds each shard without a break, and which shards were stopped but
// still have calls in flight, so that the upstream may finish those.
type holds struct {
	mu      sync.Mutex
	since   map[ident.Shard]ident.Epoch
	stopped map[ident.Shard]ident.Epoch
}

func newHolds() *holds {
	return &holds{
		since:   make(map[ident.Shard]ident.Epoch),
		stopped: make(map[ident.Shard]ident.Epoch),
	}
}

// serve takes what the member serves from now on. A shard that is only stopped
// keeps its holding as long as the table names the member.
func (h *holds) serve(served []core.ServedShard, self ident.Incarnation, view *table.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := make(map[ident.Shard]bool, len(served))
	for _, holding := range served {
		now[holding.Shard] = true
		delete(h.stopped, holding.Shard)
		if _, held := h.since[holding.Shard]; !held {
			h.since[holding.Shard] = holding.Epoch
		}
	}
	for shard := range h.since {
		if state, ok := view.State(shard); !now[shard] && (!ok || state.Owner != self) {
			delete(h.since, shard)
			delete(h.stopped, shard)
		}
	}
}

// begin returns the epoch at which the holding of a shard began.
func (h *holds) begin(shard ident.Shard) (ident.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	epoch, ok := h.since[shard]
	return epoch, ok
}

// stop keeps shards granted to the upstream until finish.
func (h *holds) stop(shards []ident.Shard, view *table.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, shard := range shards {
		if state, ok := view.State(shard); ok {
			h.stopped[shard] = state.Epoch
		}
	}
}

// finish withdraws shards that have no call in flight any more.
func (h *holds) finish(shards []ident.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, shard := range shards {
		delete(h.stopped, shard)
	}
}

// clear forgets everything at the end of an incarnation.
func (h *holds) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.since)
	clear(h.stopped)
}

// lingering returns the stopped shards that still have calls in flight.
func (h *holds) lingering() []core.ServedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []core.ServedShard
	for shard, epoch := range h.stopped {
		list = append(list, core.ServedShard{Shard: shard, Epoch: epoch})
	}
	return list
}

// granted is a view for the upstream's grants: what is served, and what was
// stopped but has calls in flight.
type granted struct {
	*core.View
	holds *holds
}

// Served implements grant.View.
func (g granted) Served() []core.ServedShard {
	lingering := g.holds.lingering()
	if len(lingering) == 0 {
		return g.View.Served()
	}
	return append(lingering, g.View.Served()...)
}

var _ grant.View = granted{}
