package daemon

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/stream"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// appendBurst is the number of appends that a daemon may save up.
	appendBurst = 16
	// journalEntries bounds the idempotency keys that a daemon remembers.
	journalEntries = 200_000
	// rebirthWait is the time before an incarnation that could not start is
	// tried again.
	rebirthWait = time.Second
	// settleInterval is the time between two looks at what still runs.
	settleInterval = 20 * time.Millisecond
)

// live runs one incarnation after the other until the daemon ends.
func (d *Daemon) live() {
	seeds := d.routeTable()
	for {
		service, ok := d.awaitService()
		if !ok {
			return
		}
		l, err := d.begin(service, seeds)
		if err != nil {
			d.log.Error(err, "incarnation did not start")
			if !d.sleep(rebirthWait) {
				return
			}
			continue
		}
		ended := d.follow(l)
		l.close()
		d.holds.clear()
		if ended || !d.settle() {
			return
		}
		seeds = d.knownTable()
	}
}

// awaitService waits until the daemon knows which service it serves.
func (d *Daemon) awaitService() (ident.Service, bool) {
	for {
		if d.settings.Service != "" {
			return d.settings.Service, true
		}
		if a, ok := d.desk.Upstream(); ok {
			return a.Service, true
		}
		select {
		case <-d.announce:
		case <-d.ctx.Done():
			return "", false
		}
	}
}

// knownTable returns the table of the incarnation that has ended, by which the
// next one routes until it has read the log.
func (d *Daemon) knownTable() []table.Chunk {
	chunks, err := snapshot(d.view.Load())
	if err != nil {
		d.log.Error(err, "table of the last incarnation is lost")
	}
	return chunks
}

// begin starts a new incarnation. Until it has read the log it routes by the
// seeds, if there are any.
func (d *Daemon) begin(service ident.Service, seeds []table.Chunk) (*life, error) {
	self := d.member(ident.NewIncarnation(d.settings.Host, rand.Uint64()), service)
	machine := core.New(self, core.WithTimings(d.o.timings), core.WithRouteTable(seeds))
	if len(seeds) > 0 {
		d.view.Store(machine.View())
	}
	writer := stream.NewWriter(d.port, stream.Ownership, d.writerOptions()...)
	l, err := newLife(d.ctx, self, machine, writer, d.o, d)
	if err != nil {
		return nil, fmt.Errorf("begin incarnation: %w", err)
	}
	d.life.Store(l)
	d.recorder.Emit(events.Event{Kind: events.KindRestart, Member: self.Inc, Note: "incarnation begins"})
	d.orderPolicy(service)
	if a, ok := d.desk.Upstream(); ok {
		d.order(core.UpstreamUp{Slots: uint32(a.Slots), Checks: a.ChecksTokens, Cold: a.Cold})
	}
	if d.draining.Load() {
		d.order(core.Drain{})
	}
	for _, in := range d.evictions.pending(d.view.Load()) {
		d.order(in)
	}
	return l, nil
}

// member describes an incarnation of this daemon.
func (d *Daemon) member(inc ident.Incarnation, service ident.Service) table.Member {
	m := table.Member{
		Inc:     inc,
		Place:   d.settings.Place,
		Region:  d.settings.Region,
		Service: service,
		Peer:    d.settings.Advertise.Peer,
		Caller:  "http://" + d.settings.Advertise.Caller,
		Admin:   "http://" + d.settings.Advertise.Admin,
		Checks:  true,
	}
	if d.desk != nil {
		if a, ok := d.desk.Upstream(); ok {
			m.Slots = uint32(a.Slots)
			m.Checks = a.ChecksTokens
		}
	}
	return m
}

// follow waits for the end of an incarnation. It reports true when the daemon
// ends with it.
func (d *Daemon) follow(l *life) bool {
	left := l.left
	for {
		select {
		case <-d.ctx.Done():
			return true
		case <-left:
			d.leftOnce.Do(func() { close(d.left) })
			left = nil
		case <-l.halted:
			d.recorder.Emit(events.Event{Kind: events.KindRestart, Member: l.self.Inc, Note: l.reason})
			return false
		}
	}
}

// settle waits until the upstream can act on no grant of the incarnation that
// has ended.
func (d *Daemon) settle() bool {
	for {
		now := d.o.clock.Now()
		if !now.Before(d.desk.Expires()) && !now.Before(d.executor.Until()) {
			return true
		}
		if !d.sleep(settleInterval) {
			return false
		}
	}
}

// sleep waits and reports false when the daemon ends first.
func (d *Daemon) sleep(t time.Duration) bool {
	timer := d.o.clock.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-d.ctx.Done():
		return false
	}
}

// perform implements performer.
func (d *Daemon) perform(l *life, action core.Action) {
	switch a := action.(type) {
	case core.Send:
		d.sendWith(l.machine.View(), a.To, a.Message)
	case core.Append:
		d.append(l, a.Record)
	case core.Stop:
		d.stop(l, a)
	case core.Publish:
		d.publish(l, a.View)
	case core.Halt:
		d.executor.Cut()
		l.halt(a.Reason)
	case core.Drained:
		l.leave()
	case core.Emit:
		d.recorder.Emit(a.Event)
	}
}

func (d *Daemon) append(l *life, record table.Record) {
	data, err := table.Encode(record)
	if err == nil {
		err = l.writer.Append(record.ID, data)
	}
	if err != nil {
		// The decision code repeats what it does not read back.
		l.log.Error(err, "record not queued", "record", record.ID.String())
	}
}

// publish puts a view in force for the request path.
func (d *Daemon) publish(l *life, view *core.View) {
	served := view.Served()
	if sameHoldings(served, l.served) {
		d.view.Store(view)
		return
	}
	fresh := d.changeServed(l, served)
	d.holds.serve(served, l.self.Inc, view.Table())
	d.view.Store(view)
	d.desk.NotifyChange()
	d.keeper.Update(served)
	d.balancer.gain(slotsOf(fresh))
}

// changeServed prepares the request path for shards that come and go. It
// returns those that come.
func (d *Daemon) changeServed(l *life, served []core.ServedShard) []core.ServedShard {
	before := make(map[core.ServedShard]bool, len(l.served))
	for _, h := range l.served {
		before[h] = true
	}
	var fresh []core.ServedShard
	for _, h := range served {
		if !before[h] {
			fresh = append(fresh, h)
		}
		delete(before, h)
	}
	d.journal.Serve(served)
	d.executor.Resume(shardsOf(fresh))
	lost := make([]ident.Shard, 0, len(before))
	for h := range before {
		lost = append(lost, h.Shard)
	}
	d.forget(lost)
	l.served = served
	return fresh
}

func slotsOf(holdings []core.ServedShard) []ident.Slot {
	slots := make([]ident.Slot, len(holdings))
	for i, h := range holdings {
		slots[i] = h.Shard.Slot
	}
	return slots
}

func shardsOf(holdings []core.ServedShard) []ident.Shard {
	shards := make([]ident.Shard, len(holdings))
	for i, h := range holdings {
		shards[i] = h.Shard
	}
	return shards
}

// sameHoldings reports whether two slices of holdings are one and the same.
func sameHoldings(a, b []core.ServedShard) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
