package daemon

import (
	"context"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Control implements peers.Handler.
func (d *Daemon) Control(m wire.Message) {
	d.clock.Observe(events.Stamp(m.Clock))
	switch {
	case m.Ping != nil:
		d.send(m.From, wire.Message{Pong: &wire.Pong{Nonce: m.Ping.Nonce, Load: d.load()}})
	case m.Pong != nil, m.Offer != nil, m.Answer != nil:
		if b := d.balancer; b != nil {
			b.take(m)
		}
	case m.Journal != nil:
		d.takeJournal(m)
	case m.Suspects != nil:
		d.quarantine.Merge(m.Suspects)
	default:
		if l := d.life.Load(); l != nil {
			l.inputs.Put(core.Received{Message: m})
		}
	}
}

func (d *Daemon) takeJournal(m wire.Message) {
	if d.relay.Acked(m.Journal) {
		return
	}
	if ack := d.journal.Receive(m.Journal); ack != nil {
		d.send(m.From, wire.Message{Journal: ack})
	}
}

// Run implements peers.Handler: it runs a call that another daemon forwards.
func (d *Daemon) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	return d.router.Run(ctx, call)
}

// SendJournal implements journl.Sender.
func (d *Daemon) SendJournal(to ident.Incarnation, m *wire.Journal) {
	d.send(to, wire.Message{Journal: m})
}

// send delivers a control message to a member of the table, or loses it.
func (d *Daemon) send(to ident.Incarnation, m wire.Message) {
	d.sendWith(d.view.Load(), to, m)
}

func (d *Daemon) sendWith(view *core.View, to ident.Incarnation, m wire.Message) {
	member, ok := view.Member(to)
	if !ok {
		return
	}
	m.From = d.self()
	m.To = to
	m.Clock = uint64(d.clock.Now())
	d.transport.Send(member, m)
}

// successors returns the members that may take a shard over.
func (d *Daemon) successors(shard ident.Shard) []ident.Incarnation {
	view := d.view.Load().Table()
	state, ok := view.State(shard)
	if !ok {
		return nil
	}
	self := d.self()
	var live []ident.Incarnation
	for _, inc := range state.Successors {
		if !inc.IsZero() && inc != self && !view.Removed(inc) {
			live = append(live, inc)
		}
	}
	return live
}

// crashed tells the other members of the service what ran when the upstream
// was lost.
func (d *Daemon) crashed(suspects *wire.Suspects) {
	d.recorder.Emit(events.Event{Kind: events.KindQuarantine, Count: len(suspects.Items), Note: "upstream lost with requests in flight"})
	d.tellSuspects(suspects)
}

// tellSuspects passes a report to the other members of the service.
func (d *Daemon) tellSuspects(report *wire.Suspects) {
	for _, member := range d.members() {
		d.send(member.Inc, wire.Message{Suspects: report})
	}
}

// peerChanged notes that a peer comes or goes.
func (d *Daemon) peerChanged(host ident.Host, up bool) {
	note := "unreachable"
	if up {
		note = "reachable"
	}
	d.recorder.Emit(events.Event{Kind: events.KindPeer, Member: ident.Incarnation{Host: host}, Note: note})
}

// members returns the other live members of the daemon's service.
func (d *Daemon) members() []table.Member {
	view := d.view.Load()
	self, ok := view.Member(view.Self())
	if !ok {
		return nil
	}
	var others []table.Member
	for _, m := range view.Members(self.Service) {
		if m.Inc != self.Inc {
			others = append(others, m)
		}
	}
	return others
}
