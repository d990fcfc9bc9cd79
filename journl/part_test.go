package journl_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/journl"
)

// TestPartedShardKeepsTheJournal parts a pin from a shard: what ran before, and
// what runs meanwhile, is known under the pin too, and nothing that did not run
// is refused.
func TestPartedShardKeepsTheJournal(t *testing.T) {
	c := qt.New(t)
	k := newCluster(journl.AckNone)
	pin := ident.NewShard("rounds-desk", 4096)
	base := journl.Holding{Shard: shard, Epoch: 1}
	k.first.Serve([]journl.Holding{base})
	done, running, freed := keyAt(t, k.clock.Now()), keyAt(t, k.clock.Now()), keyAt(t, k.clock.Now())
	_, claim := begin(k.first, done, 1, 1)
	claim.Done(200, "text/plain", []byte("first"), true)
	_, atWork := begin(k.first, running, 1, 2)
	_, unsent := begin(k.first, freed, 1, 3)
	k.first.Serve([]journl.Holding{base, {Shard: pin, Epoch: 2, Base: shard}})

	at := func(key string, fingerprint uint64) string {
		claim, reply, err := k.first.Begin(callWith(key), pin, 2, fingerprint)
		switch {
		case err != nil:
			return string(calls.AsError(err).Reason())
		case reply != nil:
			return "replay"
		}
		claim.Forget()
		return "run"
	}
	c.Check(at(done, 1), qt.Equals, "replay")
	c.Check(at(running, 2), qt.Equals, string(calls.ReasonKeyBusy))
	atWork.Done(200, "text/plain", []byte("second"), true)
	unsent.Forget()
	c.Check(at(running, 2), qt.Equals, "replay")
	c.Check(at(freed, 3), qt.Equals, "run")
	c.Check(at(keyAt(t, k.clock.Now()), 4), qt.Equals, "run")
	_, bytes := k.first.Size()
	c.Check(bytes, qt.Equals, 2*(len("first")+len("second")+2*len("text/plain")))

	// A pin that another member has owned since vouches for nothing before.
	other := ident.NewShard("rounds-desk", 4097)
	k.first.Serve([]journl.Holding{base, {Shard: other, Epoch: 4}})
	_, _, err := k.first.Begin(callWith(done), other, 4, 1)
	c.Check(calls.AsError(err).Reason(), qt.Equals, calls.ReasonKeyExpired)
}
