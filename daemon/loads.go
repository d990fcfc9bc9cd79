package daemon

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/spread"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// track begins to follow the load of each slot of a service.
func (d *Daemon) track(slots uint32) {
	if d.tracker.Load() == nil {
		t := hotkey.New(slots)
		d.tracker.Store(t)
		d.meter.SetTracker(t)
	}
}

// planner returns the planner of load moves under a service's settings.
func planner(share policy.Share) *spread.Planner {
	return spread.New(
		spread.WithMoveBudget(share.Moves),
		spread.WithHysteresis(share.Hysteresis),
		spread.WithCooldown(share.Cooldown),
	)
}

// load returns what the daemon measures of its upstream.
func (d *Daemon) load() wire.Load {
	owned := len(d.view.Load().Served())
	return d.meter.Load(d.service(), owned, d.draining.Load())
}

// rates returns the load of each slot that the daemon serves.
func (d *Daemon) rates() []spread.Rate {
	t := d.tracker.Load()
	if t == nil {
		return nil
	}
	now := d.o.clock.Now()
	view := d.view.Load()
	service := d.service()
	var rates []spread.Rate
	for slot, rate := range t.Rates() {
		if _, ok := view.Serves(ident.NewShard(service, slot), now); ok {
			rates = append(rates, spread.Rate{Slot: slot, PerSecond: rate})
		}
	}
	return rates
}

// hot ends a measuring interval and returns the key hashes that deserve a slot
// of their own.
func (d *Daemon) hot(now time.Time) []uint64 {
	t := d.tracker.Load()
	if t == nil {
		return nil
	}
	t.EndInterval(now)
	accepted, ok := d.state().Service(d.service())
	if !ok {
		return nil
	}
	_, pinned := d.view.Load().Table().Slots(d.service())
	var hashes []uint64
	for _, pin := range t.ProposePins(accepted.Share.Pins - int(pinned)) {
		hashes = append(hashes, pin.Hash())
	}
	return hashes
}

// forget drops the measured load of shards that have left this member.
func (d *Daemon) forget(shards []ident.Shard) {
	t := d.tracker.Load()
	if t == nil {
		return
	}
	slots := make([]ident.Slot, len(shards))
	for i, shard := range shards {
		slots[i] = shard.Slot
	}
	t.Forget(slots...)
}
