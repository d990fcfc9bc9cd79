package model

import (
	"fmt"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// watchedSlots is the number of slots that are compared after each record.
const watchedSlots = 4

// checker holds the properties of a world.
type checker struct {
	err error
	// history holds the reference state of the first slots by offset.
	history map[uint64][]table.State
	// tokens holds the highest token that each slot was served under, and by
	// whom.
	tokens map[ident.Slot]serving
}

type serving struct {
	epoch ident.Epoch
	by    ident.Incarnation
}

func newChecker() checker {
	return checker{history: map[uint64][]table.State{}, tokens: map[ident.Slot]serving{}}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// applied notes the reference table after a record. Epochs must not go back.
func (c *checker) applied(w *World, offset uint64) {
	list := states(w, w.log.table)
	if offset > 0 {
		for i, old := range c.history[offset-1] {
			if list[i].Epoch < old.Epoch {
				c.fail("slot %d: epoch %d after %d at offset %d", i, list[i].Epoch, old.Epoch, offset)
			}
			if list[i].Owner.IsZero() && !old.Owner.IsZero() {
				c.fail("slot %d: owner %s lost at offset %d", i, old.Owner, offset)
			}
			if list[i].Epoch == old.Epoch && list[i] != old {
				c.fail("slot %d: changed within epoch %d at offset %d", i, old.Epoch, offset)
			}
		}
	}
	c.history[offset] = list
}

type stateReader interface {
	State(shard ident.Shard) (table.State, bool)
}

func states(w *World, t stateReader) []table.State {
	list := make([]table.State, min(watchedSlots, w.cfg.Slots))
	for i := range list {
		list[i], _ = t.State(ident.NewShard(Service, ident.Slot(i)))
	}
	return list
}

// published checks the properties that a new view of a host may break: at
// most one member serves a slot, tokens rise from owner to owner, and the
// view's table is what the log says at its offset.
func (c *checker) published(w *World, h *Host) {
	if h.machine == nil || c.err != nil || w.Founded {
		return
	}
	v := h.machine.View()
	if t := v.Table(); t != nil && t.Next() > 0 {
		if want, ok := c.history[t.Next()-1]; ok {
			for i, st := range states(w, t) {
				if st != want[i] {
					c.fail("%s: slot %d is %+v at offset %d, the log says %+v", h.Inc(), i, st, t.Next()-1, want[i])
				}
			}
		}
	}
	for n := range ident.Slot(min(w.cfg.Slots, watchedSlots)) {
		c.serves(w, h, n)
	}
}

func (c *checker) serves(w *World, h *Host, n ident.Slot) {
	epoch, ok := h.Serves(n)
	if !ok {
		return
	}
	for _, o := range w.hosts {
		if o == h {
			continue
		}
		if other, both := o.Serves(n); both {
			c.fail("two owners of slot %d at %s: %s under %d and %s under %d",
				n, w.now, h.Inc(), epoch, o.Inc(), other)
		}
	}
	last := c.tokens[n]
	if epoch < last.epoch || epoch == last.epoch && last.by != h.Inc() && last.by != (ident.Incarnation{}) {
		c.fail("slot %d at %s: %s serves under %d after %s served under %d",
			n, w.now, h.Inc(), epoch, last.by, last.epoch)
	}
	c.tokens[n] = serving{epoch: epoch, by: h.Inc()}
}
