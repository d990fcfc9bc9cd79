package model_test

import (
	"testing"
	"time"

	"github.com/monsoonmoor/monsoonmoor/model"
)

// TestLateAppendsLivelock is a schedule that a longer walk found: two losses while appends take effect up to 4 s late,
// longer than a lease. Hosts end their incarnation as fast as they join, and two slots stay unserved for 30 s.
func TestLateAppendsLivelock(t *testing.T) {
	ms := time.Millisecond
	p := newPlayer(model.Config{
		Hosts: walkHosts, Places: 2, Slots: walkSlots, Seed: 0xc, Tick: 100 * ms, Drift: 0.05,
		Noise: model.Noise{Skip: 0.1, Append: 4 * time.Second, Repeat: 0.1},
	})
	for _, f := range []fault{
		{Kind: "move", Role: anyHost, Pick: 1, Slot: 1, Wait: 700 * ms},
		{Kind: "kill", Role: first, Pick: 0, Slot: 1, Wait: 800 * ms, Last: 1200 * ms},
		{Kind: "blind", Role: owner, Pick: 0, Slot: 0, Wait: 800 * ms, Last: 100 * ms},
		{Kind: "kill", Role: second, Pick: 0, Slot: 1, Wait: 100 * ms, Last: 100 * ms},
	} {
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
}
