package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
)

// TestRestartedMembersRegainShares restarts all members one after the other. The last
// ones begin with few slots, and few members have more than a fair share to give. Each
// must have half a fair share again in the time that moving it takes at the rate that
// all members may move together, and some seconds to begin.
func TestRestartedMembersRegainShares(t *testing.T) {
	const hosts, slots = 5, 4096
	const fair = slots / hosts
	c := qt.New(t)
	w := model.New(model.Config{Hosts: hosts, Places: 3, Slots: slots, Seed: 7})
	w.StartAll()
	c.Assert(w.RunUntil(60*time.Second, func() bool { return w.Served() == slots }), qt.IsTrue)
	w.Run(8 * time.Second)
	for i := range hosts {
		h := w.Host(i)
		h.Give(core.Drain{})
		c.Assert(w.RunUntil(30*time.Second, func() bool { return h.Left }), qt.IsTrue)
		h.Start()
		w.Run(2 * time.Second)
	}
	least := func() int {
		served := make([]int, hosts)
		for slot := range ident.Slot(slots) {
			for _, owner := range w.Owners(slot) {
				served[owner]++
			}
		}
		n := slots
		for _, s := range served {
			n = min(n, s)
		}
		return n
	}
	rate := core.DefaultTimings().RebalanceSlots
	allowed := time.Duration(fair/2/rate+4) * time.Second
	begun, start := w.Now(), least()
	c.Assert(w.RunUntil(allowed, func() bool { return least() >= fair/2 }), qt.IsTrue,
		qt.Commentf("from %d to %d slots in %s, half a fair share is %d", start, least(), allowed, fair/2))
	t.Logf("from %d to %d slots in %s", start, least(), w.Now()-begun)
	c.Assert(w.Err(), qt.IsNil)
}
