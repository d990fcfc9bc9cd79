package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// stopHalf makes half of a fleet of 24 daemons give away their keys at the same
// moment. It returns the longest time for which a probed key had no holder.
func stopHalf(seed uint64, r rules) (w *simulation, longest time.Duration) {
	w = newSimulation(seed, 24, r)
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.advance()
	}
	w.races = 0
	for i := 0; i < len(w.daemons); i += 2 {
		w.stop(w.daemons[i])
	}
	unheld := make(map[atlas.Point]time.Duration)
	for end := w.now.Add(5 * time.Second); w.now.Before(end); {
		w.advance()
		for _, p := range probes {
			if w.isHeld(p) {
				unheld[p] = 0
				continue
			}
			unheld[p] += step
			longest = max(longest, unheld[p])
		}
	}
	return w, longest
}

// A member that leaves must not wait for all others that leave at the same
// time. If each of them wrote the table itself, all but one would lose the race
// for each version, so the designated writer writes the handovers of all.
func TestHandoversAtOnce(t *testing.T) {
	c := qt.New(t)
	// The releasing upstream reports the release with its next heartbeat, and
	// the one that gets the key learns it with the answer to its own: two
	// heartbeat intervals. In between are a datagram of at most 30 ms, the
	// minimum write interval of 80 ms and a write of at most 40 ms.
	const bound = 2*interval + 150*time.Millisecond
	for seed := range uint64(3) {
		w, longest := stopHalf(seed, rules{})
		c.Check(w.violations, qt.HasLen, 0)
		c.Check(longest <= bound, qt.IsTrue, qt.Commentf("seed %d: %v without holder", seed, longest))
		c.Check(w.held(), qt.Equals, len(probes))
		alone, slow := stopHalf(seed, rules{ignoreRequests: true})
		t.Logf("seed %d: %v and %d lost races, %v and %d where each writes its own", seed, longest, w.races, slow, alone.races)
	}
}

// A request to write a handover is valid only for the owner, the fencing token
// and the range that the table has. Otherwise a late request would give away
// keys that have changed owner since.
func TestStaleHandoverIsVoid(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, 5, rules{})
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.advance()
	}
	table := w.newest
	writer := w.find(table.Members()[0].Inc.Host)
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
		writer.machine.AddRequest(w.now, gossip.Request{Service: service, Owner: test.owner, Moves: []gossip.Move{
			{From: test.span.From, To: test.span.To, Fence: uint64(test.fence), Taker: taker},
		}})
		a := writer.machine.Tick(w.now, w.live(writer))
		c.Check(a.Proposal, qt.IsNil, qt.Commentf("%s", test.name))
	}
	writer.machine.AddRequest(w.now, gossip.Request{Service: service, Owner: giver, Moves: []gossip.Move{
		{From: row.Span.From, To: row.Span.To, Fence: uint64(row.Fence), Taker: taker, Token: "t", Rate: 7},
	}})
	a := writer.machine.Tick(w.now, w.live(writer))
	c.Assert(a.Proposal, qt.IsNotNil)
	member, _ := a.Proposal.Owner(row.Span.From)
	c.Check(member.Inc.Host, qt.Equals, taker)
}

// Members that leave an idle fleet one after the other must hand their ranges
// to few others. Each split of a range makes the table longer permanently.
func TestIdleDeparturesKeepRangesWhole(t *testing.T) {
	const size, leaving = 16, 10
	c := qt.New(t)
	w := newSimulation(3, size, rules{})
	w.lossless = true
	for w.now.Sub(epoch) < 6*time.Second {
		w.advance()
	}
	before := len(w.newest.Rows())
	for _, d := range w.daemons[:leaving] {
		w.stop(d)
		for end := w.now.Add(2 * time.Second); w.now.Before(end); {
			w.advance()
		}
	}
	c.Assert(w.newest.Members(), qt.HasLen, size-leaving)
	c.Check(w.held(), qt.Equals, len(probes))
	// Each departure may add one split at most, since its keys go to at most
	// two members.
	c.Check(len(w.newest.Rows()) <= before+leaving, qt.IsTrue, qt.Commentf("%d rows, %d before", len(w.newest.Rows()), before))
}
