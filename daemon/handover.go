package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// handoversPending is the number of batches of shards that wait to be
	// handed over.
	handoversPending = 1024
	// handoverWorkers is the number of batches handed over at once.
	handoverWorkers = 4
	// settleWait is the time between two looks at whether shards that are to
	// settle are served again.
	settleWait = 500 * time.Millisecond
	// transferWait bounds the transfer of one shard's journal. Without the
	// journal the taker refuses the keys that it cannot vouch for.
	transferWait = time.Second
)

// handover is a batch of shards that are idle and go to another member.
type handover struct {
	life   *life
	shards []ident.Shard
	to     ident.Incarnation
	// number is that of the order to stop.
	number uint64
}

// stop ends new work on shards that move.
func (d *Daemon) stop(l *life, a core.Stop) {
	d.holds.stop(a.Shards, d.view.Load().Table())
	d.executor.Stop(a.Shards, func(idle []ident.Shard) {
		d.holds.finish(idle)
		d.desk.NotifyChange()
		if !d.moves.Put(handover{life: l, shards: idle, to: a.To, number: a.Number}) {
			l.halt("too many hand-overs wait")
		}
	})
}

// handOver waits until the upstream can act on none of the shards any more,
// transfers their journals and tells the decision code.
func (d *Daemon) handOver(h handover) {
	for len(h.shards) > 0 && !d.awaitSettled(h.shards) {
		if d.ctx.Err() != nil {
			return
		}
		h.shards = d.unserved(h.shards)
	}
	view := d.view.Load().Table()
	for _, shard := range h.shards {
		state, ok := view.State(shard)
		if !ok || h.to.IsZero() {
			continue
		}
		d.transfer(shard, state.Epoch, h.to)
	}
	h.life.order(d.ctx, core.Idle{Shards: h.shards, Number: h.number})
}

// awaitSettled waits for a while until the upstream can act on none of the
// shards any more.
func (d *Daemon) awaitSettled(shards []ident.Shard) bool {
	ctx, cancel := context.WithTimeout(d.ctx, settleWait)
	defer cancel()
	return d.desk.AwaitReleased(ctx, shards) == nil
}

// unserved returns the shards that are still stopped. One that is served again
// never settles.
func (d *Daemon) unserved(shards []ident.Shard) []ident.Shard {
	view, now := d.view.Load(), d.o.clock.Now()
	return slices.DeleteFunc(shards, func(shard ident.Shard) bool {
		_, served := view.Serves(shard, now)
		return served
	})
}

func (d *Daemon) transfer(shard ident.Shard, epoch ident.Epoch, to ident.Incarnation) {
	parts := d.journal.Export(shard, epoch)
	if len(parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, transferWait)
	defer cancel()
	if err := d.relay.Transfer(ctx, to, parts); err != nil {
		d.log.Info("journal not confirmed", "shard", shard.String(), "to", to.String(), "error", err.Error())
	}
}
