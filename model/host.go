package model

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Host is one host of a world, with the machine that runs on it.
type Host struct {
	world    *World
	index    int
	name     ident.Host
	place    ident.Place
	rate     float64
	boots    uint64
	machine  *core.Machine
	paused   bool
	inbox    []wire.Message
	upstream bool
	next     uint64
	caught   bool
	logUp    bool
	readAt   time.Duration
	// NoRead keeps the host from reading the log.
	NoRead bool
	// Stall keeps the host from reading while it believes that it does.
	Stall bool
	// Hold keeps stopped slots from becoming idle; stops are those that wait.
	Hold  bool
	stops []core.Stop
	// Left is set once a drain was complete.
	Left bool
	// Restart has a machine that halts followed by a new one.
	Restart bool
	// Halt is why the last machine halted.
	Halt   string
	halted bool
	route  []table.Chunk
}

// Inc returns the current incarnation.
func (h *Host) Inc() ident.Incarnation { return ident.NewIncarnation(h.name, h.boots) }

// Machine returns the machine that runs; nil when the host is down.
func (h *Host) Machine() *core.Machine { return h.machine }

// Clock returns the host's own time.
func (h *Host) Clock() time.Time {
	return h.world.base.Add(time.Duration(float64(h.world.now) * h.rate))
}

// Start runs a new machine under a new incarnation.
func (h *Host) Start() {
	h.boots++
	h.paused, h.inbox, h.caught, h.next, h.Left, h.logUp, h.halted = false, nil, false, 0, false, true, false
	h.machine = core.New(table.Member{
		Inc: h.Inc(), Place: h.place, Region: "region", Service: Service, Slots: 20, Checks: true,
	}, core.WithTimings(h.world.cfg.Timings), core.WithSeed(h.world.cfg.Seed+uint64(h.index)),
		core.WithRouteTable(h.route))
	h.step(core.Policy{Service: Service, Slots: h.world.cfg.Slots})
	if h.upstream {
		h.step(core.UpstreamUp{Slots: 20, Checks: true})
	}
}

// Kill ends the machine without a word.
func (h *Host) Kill() { h.machine, h.inbox, h.paused, h.halted = nil, nil, false, false }

// Pause stops the machine from running; its view stays in use.
func (h *Host) Pause() { h.paused = h.machine != nil }

// Resume lets the machine run again.
func (h *Host) Resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, msg := range inbox {
		h.step(core.Received{Message: msg})
	}
}

// Give hands the machine an input.
func (h *Host) Give(in core.Input) { h.step(in) }

// Release ends the calls that kept slots from becoming idle, and says so.
func (h *Host) Release() {
	stops := h.stops
	h.Hold, h.stops = false, nil
	for _, a := range stops {
		if h.machine != nil {
			h.step(core.Idle{Shards: a.Shards, Number: a.Number})
		}
	}
}

// SetUpstream tells the machine whether its upstream works.
func (h *Host) SetUpstream(up bool) {
	h.upstream = up
	if up {
		h.step(core.UpstreamUp{Slots: 20, Checks: true})
	} else {
		h.step(core.UpstreamDown{})
	}
}

// Serves reports whether the host serves a slot at its own time now.
func (h *Host) Serves(n ident.Slot) (ident.Epoch, bool) {
	if h.machine == nil {
		return 0, false
	}
	return h.machine.View().Serves(ident.NewShard(Service, n), h.Clock())
}

func (h *Host) tick() {
	if h.halted && h.Restart {
		h.Start()
	}
	if h.machine == nil || h.paused {
		return
	}
	h.read()
	h.step(core.Tick{})
}

// read gives the machine what its reader has of the log.
func (h *Host) read() {
	l := &h.world.log
	if up := l.Up && !h.NoRead; up != h.logUp {
		h.logUp = up
		h.step(core.LogState{Up: up})
	}
	if !h.logUp || h.Stall || h.world.now < h.readAt {
		return
	}
	h.readAt = h.world.now + h.world.upTo(h.world.cfg.Noise.Lag)
	if h.next < l.first {
		if h.next > 0 {
			h.step(core.Gap{First: l.first})
		}
		h.next = l.first
		h.caught = false
	}
	for h.next < l.first+uint64(len(l.records)) && h.machine != nil {
		h.next++
		h.step(core.StreamRecord{Offset: h.next - 1, Record: l.records[h.next-1-l.first]})
	}
	if !h.caught && h.machine != nil {
		h.caught = true
		h.step(core.CaughtUp{Next: h.next})
	}
}

func (h *Host) step(in core.Input) {
	if h.machine == nil || h.paused {
		return
	}
	h.world.count.Steps++
	for _, a := range h.machine.Step(h.Clock(), in) {
		h.perform(a)
	}
}

func (h *Host) perform(a core.Action) {
	w := h.world
	switch a := a.(type) {
	case core.Send:
		w.post(h.index, a)
	case core.Append:
		w.log.send(a.Record)
	case core.Publish:
		w.check.published(w, h)
	case core.Stop:
		if h.Hold {
			h.stops = append(h.stops, a)
			return
		}
		h.step(core.Idle{Shards: a.Shards, Number: a.Number})
	case core.Emit:
		w.trace.add(line{at: w.now, by: h.Inc(), event: a.Event})
		if a.Event.Kind == events.KindTakeover {
			w.count.Provisional++
		}
	case core.Halt:
		w.count.Halts++
		h.Halt, h.halted = a.Reason, true
		h.machine = nil
	case core.Drained:
		h.Left = true
		h.machine = nil
	}
}
