package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// release lets half of a large fleet give its keys away at the same moment, and
// returns the longest time for which a probed key had no holder.
func release(seed uint64, r rules) (w *world, longest time.Duration) {
	w = newWorld(seed, 24, r)
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.play()
	}
	w.races = 0
	for i := 0; i < len(w.daemons); i += 2 {
		w.stop(w.daemons[i])
	}
	without := make(map[atlas.Point]time.Duration)
	for end := w.now.Add(5 * time.Second); w.now.Before(end); {
		w.play()
		for _, p := range probes {
			if w.isHeld(p) {
				without[p] = 0
				continue
			}
			without[p] += step
			longest = max(longest, without[p])
		}
	}
	return w, longest
}

// A member that leaves must not wait for all others that leave too: one of them
// writes for all.
func TestHandoversAtOnce(t *testing.T) {
	c := qt.New(t)
	// The upstream that lets go says so with its next heartbeat, and the one that
	// gets the key learns it with the answer to its own. In between are a datagram of
	// 30 ms, the scribe's gap of 80 ms and a write of 40 ms at most.
	const bound = 2*interval + 150*time.Millisecond
	for seed := range uint64(3) {
		w, longest := release(seed, rules{})
		c.Check(w.faults, qt.HasLen, 0)
		c.Check(longest <= bound, qt.IsTrue, qt.Commentf("seed %d: %v without holder", seed, longest))
		c.Check(w.held(), qt.Equals, len(probes))
		alone, slow := release(seed, rules{alone: true})
		t.Logf("seed %d: %v and %d lost races, %v and %d where each writes its own", seed, longest, w.races, slow, alone.races)
	}
}

// A request to write a handover counts for the rows that it was made for, and for
// nothing else.
func TestStaleHandoverIsVoid(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 5, rules{})
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.play()
	}
	table := w.newest
	scribe := w.find(table.Members()[0].Inc.Host)
	giver, taker := table.Members()[1].Inc, table.Members()[2].Inc.Host
	row := table.RowsOf(giver.Host)[0]
	for _, test := range []struct {
		name  string
		owner ident.Incarnation
		fence atlas.Fence
		span  atlas.Span
	}{
		{"another run of the owner", ident.NewIncarnation(giver.Host, giver.Boot+1), row.Fence, row.Span},
		{"another fencing token", giver, row.Fence + 1, row.Span},
		{"keys of others", giver, row.Fence, atlas.Whole()},
	} {
		scribe.machine.Take(w.now, gossip.Request{Service: service, Owner: test.owner, Moves: []gossip.Move{
			{From: test.span.From, To: test.span.To, Fence: uint64(test.fence), Taker: taker},
		}})
		a := scribe.machine.Tick(w.now, w.live(scribe))
		c.Check(a.Proposal, qt.IsNil, qt.Commentf("%s", test.name))
	}
	scribe.machine.Take(w.now, gossip.Request{Service: service, Owner: giver, Moves: []gossip.Move{
		{From: row.Span.From, To: row.Span.To, Fence: uint64(row.Fence), Taker: taker, Token: "t", Rate: 7},
	}})
	a := scribe.machine.Tick(w.now, w.live(scribe))
	c.Assert(a.Proposal, qt.IsNotNil)
	member, _ := a.Proposal.Owner(row.Span.From)
	c.Check(member.Inc.Host, qt.Equals, taker)
}

// Members that leave a fleet without calls, one after the other, hand their ranges
// to few others: each cut makes the table longer for good.
func TestIdleDeparturesKeepRangesWhole(t *testing.T) {
	const size, leaving = 16, 10
	c := qt.New(t)
	w := newWorld(3, size, rules{})
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.play()
	}
	before := len(w.newest.Rows())
	for _, d := range w.daemons[:leaving] {
		w.stop(d)
		for end := w.now.Add(2 * time.Second); w.now.Before(end); {
			w.play()
		}
	}
	c.Assert(w.newest.Members(), qt.HasLen, size-leaving)
	c.Check(w.held(), qt.Equals, len(probes))
	// Two takers for each, so that one cut is added at most.
	c.Check(len(w.newest.Rows()) <= before+leaving, qt.IsTrue, qt.Commentf("%d rows, %d before", len(w.newest.Rows()), before))
}
