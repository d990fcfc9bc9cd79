package events_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

func TestHas(t *testing.T) {
	many := make([]ident.Slot, 2000)
	for i := range many {
		many[i] = ident.Slot(2 * i)
	}
	tests := []struct {
		name  string
		slots []ident.Slot
		in    []ident.Slot
		out   []ident.Slot
	}{
		{name: "one", slots: []ident.Slot{7}, in: []ident.Slot{7}, out: []ident.Slot{6, 8}},
		{name: "run", slots: []ident.Slot{7, 8, 9}, in: []ident.Slot{7, 8, 9}, out: []ident.Slot{6, 10}},
		{name: "scattered", slots: []ident.Slot{3, 500, 4060}, in: []ident.Slot{3, 500, 4060}, out: []ident.Slot{4, 499, 4037}},
		{name: "too many to list", slots: many, in: []ident.Slot{0, 1, 3998}, out: []ident.Slot{3999}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			e := events.Event{First: tt.slots[0], Last: tt.slots[len(tt.slots)-1], Slots: events.EncodeSlots(tt.slots)}
			for _, slot := range tt.in {
				c.Assert(e.HasSlot(slot), qt.IsTrue, qt.Commentf("slot %d", slot))
			}
			for _, slot := range tt.out {
				c.Assert(e.HasSlot(slot), qt.IsFalse, qt.Commentf("slot %d", slot))
			}
		})
	}
}
