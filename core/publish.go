package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// publish renders and emits a new view if something that it shows has changed.
func (m *Machine) publish() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.view = m.render()
	m.do(Publish{View: m.view})
}

// render returns a view of the current table and lease.
func (m *Machine) render() *View {
	v := &View{self: m.self.Inc, service: m.self.Service, lease: m.lease.end}
	if m.moves.leaveID != 0 {
		v.lease = time.Time{}
	}
	v.table = m.routeTable
	if m.routeTable == nil || !m.stream.baseAt.IsZero() {
		m.routeTable = nil
		m.refreshRoster()
		v.table = m.table.View()
		v.byService = m.roster.byService
	}
	m.dirty = false
	if m.ended || !m.stream.hasBase {
		return v
	}
	if !m.slots.listCurrent || m.view == nil {
		m.slots.listCurrent = true
		v.overrides = m.overrides()
		v.served = m.servedShards(v.overrides)
		return v
	}
	v.overrides, v.served = m.view.overrides, m.view.served
	return v
}

// overrides returns the slots whose service differs from what the table says.
func (m *Machine) overrides() overrides {
	var out overrides
	for n, s := range m.moves.stops {
		if out.stopped == nil {
			out.stopped = map[ident.Slot]ident.Epoch{}
		}
		out.stopped[n] = s.epoch
	}
	for n, p := range m.takeovers.held {
		if out.takenOver == nil {
			out.takenOver = map[ident.Slot]takenOverSlot{}
		}
		out.takenOver[n] = takenOverSlot{replaces: p.replaces, token: p.token}
	}
	return out
}

// servedShards lists the shards that the member serves.
func (m *Machine) servedShards(current overrides) []ServedShard {
	var list []ServedShard
	for _, n := range m.heldSlots() {
		epoch, _ := m.heldEpoch(n)
		if _, stopped := current.stopped[n]; !stopped {
			h := ServedShard{Shard: m.shard(n), Epoch: epoch}
			if p, ok := m.moves.pinOrigins[n]; ok && p.epoch == epoch {
				h.Base = m.shard(p.base)
			}
			list = append(list, h)
		}
	}
	return slices.Clip(list)
}
