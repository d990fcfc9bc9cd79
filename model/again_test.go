package model_test

import (
	"testing"
	"time"

	"github.com/monsoonmoor/monsoonmoor/model"
)

// Schedules that longer walks found, after which slots stayed unserved for 30 s.
func TestSlotsAreServedAgain(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name   string
		places int
		seed   uint64
		noise  model.Noise
		faults []fault
	}{
		{
			// Appends take effect later than a lease ends: hosts ended their incarnation
			// as fast as they joined.
			name: "late appends", places: 2, seed: 0xc,
			noise: model.Noise{Skip: 0.1, Append: 4 * time.Second, Repeat: 0.1},
			faults: []fault{
				{Kind: "move", Role: anyHost, Pick: 1, Slot: 1, Wait: 700 * ms},
				{Kind: "kill", Role: first, Pick: 0, Slot: 1, Wait: 800 * ms, Last: 1200 * ms},
				{Kind: "blind", Role: owner, Pick: 0, Slot: 0, Wait: 800 * ms, Last: 100 * ms},
				{Kind: "kill", Role: second, Pick: 0, Slot: 1, Wait: 100 * ms, Last: 100 * ms},
			},
		},
		{
			// A host that drains loses its lease, after its witnesses have gone: it ended
			// without saying that its slots are free.
			name: "drained without lease", places: 3, seed: 0x1,
			noise: model.Noise{Skip: 0.1, Delay: 450 * ms, Append: 2 * time.Second},
			faults: []fault{
				{Kind: "isolate", Role: first, Wait: 100 * ms},
				{Kind: "pause", Role: anyHost, Pick: 1, Last: 4600 * ms},
				{Kind: "kill", Role: owner, Pick: 4, Slot: 1, Wait: 900 * ms, Last: 100 * ms},
				{Kind: "hang", Role: witness, Pick: 3, Slot: 1, Wait: 100 * ms, Last: 1500 * ms},
				{Kind: "move", Role: witness, Pick: 3, Wait: 100 * ms, Last: 7300 * ms},
				{Kind: "drain", Role: owner, Pick: 4, Wait: 900 * ms, Last: 300 * ms},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlayer(model.Config{
				Hosts: walkHosts, Places: tt.places, Slots: walkSlots, Seed: tt.seed, Tick: 100 * ms, Drift: 0.05,
				Noise: tt.noise,
			})
			for _, f := range tt.faults {
				p.play(f)
			}
			p.pass(6 * time.Second)
			p.settle()
			if err := p.w.Err(); err != nil {
				t.Fatal(err)
			}
			if p.unsettled {
				t.Fatal("slots stay unserved")
			}
		})
	}
}
