package model_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
)

const (
	walkHosts = 5
	walkSlots = 2
)

// kind names a fault or an order.
type kind string

var kinds = []kind{
	"kill", "kill", "pause", "pause", "isolate", "cut", "blind", "blind", "outage", "outage",
	"move", "move", "move", "hang", "drain", "upstream", "quiet", "deafen", "deafen move", "stall", "replace",
}

// role names whom a fault is about, as the log has it at that moment.
type role int

const (
	anyHost role = iota
	owner
	first
	second
	witness
)

// fault is one step of a schedule.
type fault struct {
	Kind kind
	Role role
	Pick int
	Slot ident.Slot
	// Wait is the time before the fault, Last the time until it is mended.
	Wait, Last time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("after %s %s role %d pick %d slot %d for %s", f.Wait, f.Kind, f.Role, f.Pick, f.Slot, f.Last)
}

func millis(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most/100).Draw(t, name)) * 100 * time.Millisecond
}

var faults = rapid.Custom(func(t *rapid.T) fault {
	f := fault{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		Role: role(rapid.IntRange(0, int(witness)).Draw(t, "role")),
		Pick: rapid.IntRange(0, walkHosts-1).Draw(t, "pick"),
		Slot: ident.Slot(rapid.IntRange(0, walkSlots-1).Draw(t, "slot")),
		Last: millis(t, "last", 8000),
	}
	if rapid.IntRange(0, 2).Draw(t, "soon") > 0 {
		f.Wait = millis(t, "wait", 1000)
	} else {
		f.Wait = millis(t, "wait", 9000)
	}
	return f
})

// mend ends a fault at a time.
type mend struct {
	at time.Duration
	do func()
}

// player plays a schedule of faults in a world.
type player struct {
	w     *model.World
	cut   map[[2]int]int
	mends []mend
	// evictions counts how often an operator had to help, and unsettled is
	// set when that did not help either.
	evictions int
	unsettled bool
}

func newPlayer(cfg model.Config) *player {
	p := &player{w: model.New(cfg), cut: map[[2]int]int{}}
	p.w.Cut = func(from, to int) bool { return p.cut[[2]int{from, to}] > 0 }
	for i := range cfg.Hosts {
		p.w.Host(i).Restart = true
	}
	p.settle()
	return p
}

// settle ends all faults and waits until all slots are served.
func (p *player) settle() {
	for len(p.mends) > 0 {
		m := p.mends[0]
		p.mends = p.mends[1:]
		m.do()
	}
	p.w.StartAll()
	served := func() bool { return p.w.Served() == walkSlots }
	if !p.w.RunUntil(15*time.Second, served) {
		p.evictDead()
		p.unsettled = !p.w.RunUntil(30*time.Second, served)
	}
	p.pass(3 * time.Second)
}

// evictDead has an operator evict every incarnation that does not run.
func (p *player) evictDead() {
	runs := map[ident.Incarnation]bool{}
	for i := range walkHosts {
		runs[p.w.Host(i).Inc()] = true
	}
	for _, member := range p.w.Reference().Members() {
		for i := range walkHosts {
			if !runs[member.Inc] {
				p.w.Host(i).Give(core.EvictOrder{Of: member.Inc, Operator: "operator"})
			}
		}
	}
	p.evictions++
}

func (p *player) pass(d time.Duration) {
	end := p.w.Now() + d
	for p.w.Now() < end && p.w.Err() == nil {
		p.w.Advance()
		p.mendDue()
	}
}

func (p *player) mendDue() {
	var due []mend
	p.mends = slices.DeleteFunc(p.mends, func(m mend) bool {
		if m.at <= p.w.Now() {
			due = append(due, m)
		}
		return m.at <= p.w.Now()
	})
	for _, m := range due {
		m.do()
	}
}

func (p *player) later(d time.Duration, do func()) {
	p.mends = append(p.mends, mend{at: p.w.Now() + d, do: do})
}

// who returns the host that a fault is about.
func (p *player) who(f fault) int {
	ref := p.w.Reference()
	st, _ := ref.State(ident.NewShard(model.Service, f.Slot))
	inc := ident.Incarnation{}
	switch f.Role {
	case anyHost:
	case owner:
		inc = st.Owner
		if list := p.w.Owners(f.Slot); len(list) > 0 {
			return list[0]
		}
	case first:
		inc = st.Successors[0]
	case second:
		inc = st.Successors[1]
	case witness:
		if set := ref.Witnesses(st.Owner); set != nil {
			inc = set[f.Pick%len(set)]
		}
	}
	for i := range walkHosts {
		if p.w.Host(i).Inc() == inc {
			return i
		}
	}
	return f.Pick
}

func (p *player) play(f fault) {
	p.pass(f.Wait)
	i := p.who(f)
	h := p.w.Host(i)
	p.w.Note(i, f.String())
	restart := func() {
		if h.Machine() == nil {
			h.Start()
		}
	}
	switch f.Kind {
	case "kill":
		h.Kill()
		p.later(f.Last, restart)
	case "pause":
		h.Pause()
		p.later(f.Last, h.Resume)
	case "isolate":
		for j := range walkHosts {
			p.block(i, j, f.Last)
			p.block(j, i, f.Last)
		}
	case "cut":
		p.block(i, f.Pick, f.Last)
	case "deafen":
		p.deafen(i, f.Pick, f.Last)
	case "deafen move":
		p.deafen(i, f.Pick, f.Last)
		h.Give(core.MoveOrder{
			Service: model.Service, Slots: []ident.Slot{f.Slot}, To: p.w.Host(f.Pick).Inc(),
		})
	case "stall":
		p.stall(i, f.Last)
	case "replace":
		p.replace(i, f.Pick, f.Last)
	case "blind":
		h.NoRead = true
		p.later(f.Last, func() { h.NoRead = false })
	case "outage":
		p.w.Log().Up = false
		p.later(f.Last, func() { p.w.Log().Up = true })
	case "move":
		if list := p.w.Owners(f.Slot); len(list) > 0 {
			p.w.Host(list[0]).Give(core.MoveOrder{
				Service: model.Service, Slots: []ident.Slot{f.Slot}, To: p.w.Host(f.Pick).Inc(),
			})
		}
	case "hang":
		h.Hold = true
		p.later(f.Last, h.Release)
		h.Give(core.MoveOrder{
			Service: model.Service, Slots: []ident.Slot{f.Slot}, To: p.w.Host(f.Pick).Inc(),
		})
	case "drain":
		h.Give(core.Drain{})
		p.later(f.Last+2*time.Second, restart)
	case "upstream":
		h.SetUpstream(false)
		p.later(f.Last, func() { h.SetUpstream(true) })
	case "quiet":
		p.pass(10 * time.Second)
	}
}

// deafen cuts a host's messages to two of its witnesses.
func (p *player) deafen(i, but int, d time.Duration) {
	for k, j := range p.witnesses(i) {
		if k != but%3 {
			p.block(i, j, d)
		}
	}
}

// replace makes a host name another witness, which it may read back late; at
// last it hears that witness again, but not one of the others.
func (p *player) replace(i, pick int, d time.Duration) {
	set := p.witnesses(i)
	if len(set) == 0 {
		return
	}
	p.stall(i, 3*time.Second+d)
	p.block(i, set[pick%len(set)], 3*time.Second)
	p.later(3*time.Second, func() { p.block(i, set[(pick+1)%len(set)], d) })
	p.pass(2 * time.Second)
}

// witnesses returns the hosts of a host's witnesses, as the log has them.
func (p *player) witnesses(i int) []int {
	var out []int
	for _, inc := range p.w.Reference().Witnesses(p.w.Host(i).Inc()) {
		for j := range walkHosts {
			if p.w.Host(j).Inc() == inc {
				out = append(out, j)
			}
		}
	}
	return out
}

func (p *player) stall(i int, d time.Duration) {
	h := p.w.Host(i)
	h.Stall = true
	p.later(d, func() { h.Stall = false })
}

func (p *player) block(from, to int, d time.Duration) {
	p.cut[[2]int{from, to}]++
	p.later(d, func() { p.cut[[2]int{from, to}]-- })
}
