package core

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// publish renders a new view when something that it shows has changed.
func (m *Machine) publish() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.view = m.render()
	m.do(Publish{View: m.view})
}

func (m *Machine) render() *View {
	v := &View{self: m.self.Inc, service: m.self.Service, lease: m.lease.end}
	if m.moves.leave != 0 {
		v.lease = time.Time{}
	}
	v.table = m.route
	if m.route == nil || !m.boot.since.IsZero() {
		m.route = nil
		m.refreshRoster()
		v.table = m.table.View()
		v.byService = m.roster.byService
	}
	m.dirty = false
	if m.ended || !m.boot.based {
		return v
	}
	if !m.slots.listed || m.view == nil {
		m.slots.listed = true
		v.marks = m.marks()
		v.served = m.serving(v.marks)
		return v
	}
	v.marks, v.served = m.view.marks, m.view.served
	return v
}

// marks returns where the service differs from what the table says.
func (m *Machine) marks() marks {
	var out marks
	for n, s := range m.moves.stops {
		if out.stopped == nil {
			out.stopped = map[ident.Slot]ident.Epoch{}
		}
		out.stopped[n] = s.epoch
	}
	for n, p := range m.takes.held {
		if out.taken == nil {
			out.taken = map[ident.Slot]taken{}
		}
		out.taken[n] = taken{replaces: p.replaces, token: p.token}
	}
	return out
}

// serving lists the slots that the member serves.
func (m *Machine) serving(marks marks) []Holding {
	var list []Holding
	for _, n := range m.held() {
		epoch, _ := m.holding(n)
		if _, stopped := marks.stopped[n]; !stopped {
			h := Holding{Shard: m.shard(n), Epoch: epoch}
			if p, ok := m.moves.parted[n]; ok && p.epoch == epoch {
				h.Base = m.shard(p.base)
			}
			list = append(list, h)
		}
	}
	return slices.Clip(list)
}
