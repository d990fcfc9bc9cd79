package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/plan"
)

// A member that was assigned load a moment ago must not be given as much again.
// The load that it last reported does not include the new keys yet.
func TestLoadOnItsWayCounts(t *testing.T) {
	const rate, touches = 70.0, 400
	c := qt.New(t)
	self, a, b := ident.NewIncarnation("self", 1), ident.NewIncarnation("a", 1), ident.NewIncarnation("b", 1)
	movedRates := func(justAssigned float64) map[ident.Host]float64 {
		now := epoch
		heat := plan.NewHeat()
		for i := range uint32(touches) {
			heat.Touch(i % 100)
			if i == 0 {
				heat.Tick(now)
			}
		}
		heat.Tick(now.Add(4 * time.Second))
		now = now.Add(4 * time.Second)
		m := owner.New(self, service, now, owner.WithTerms(terms), owner.WithHold(hold), owner.WithHeat(heat, plan.NewHeat()))
		change := atlas.New(service).Change()
		for _, inc := range []ident.Incarnation{self, a, b} {
			change.Join(atlas.Member{Inc: inc, Witnesses: []ident.Incarnation{a}})
		}
		change.Assign(atlas.NewSpan(0, 30000), "self", "", 0)
		change.Assign(atlas.NewSpan(30001, atlas.Space-1), "b", "", 0)
		first := change.Finish(self, 1)
		m.Read(now, first)
		change = first.Change()
		change.Assign(atlas.NewSpan(40000, 50000), "a", "", justAssigned)
		m.Read(now, change.Finish(b, 1))
		entry := func(inc ident.Incarnation, offered float32) gossip.Entry {
			return gossip.Entry{
				Inc: inc, Service: service, Condition: gossip.Ready, Slots: 10,
				Load: gossip.Load{Offered: offered, Capacity: 100},
			}
		}
		live := []gossip.Entry{entry(a, 0), entry(b, 0), entry(self, 100)}
		m.Heartbeat(now, owner.Heartbeat{Life: 1, ID: "u", Number: 1})
		rates := make(map[ident.Host]float64)
		for _, pairs := range startedMoves(m, a, now, live) {
			rates[ident.Host(pairs["to"].(string))] += float64(pairs["rate"].(int))
		}
		return rates
	}
	even := movedRates(0)
	c.Assert(even["a"] > 0, qt.IsTrue, qt.Commentf("%v", even))
	booked := movedRates(rate)
	c.Check(booked["a"] < even["a"]/2, qt.IsTrue, qt.Commentf("%v where nothing was on its way, %v", even, booked))
	c.Check(booked["b"] > booked["a"], qt.IsTrue, qt.Commentf("%v, %v", even, booked))
}

// startedMoves runs a member with one witness for 600 ms and returns the logged
// values of the moves that it starts.
func startedMoves(m *owner.Machine, witness ident.Incarnation, now time.Time, live []gossip.Entry) []map[string]any {
	var started []map[string]any
	for range 30 {
		now = now.Add(20 * time.Millisecond)
		a := m.Tick(now, live)
		for _, msg := range a.Messages {
			if msg.Message.Renewal != nil {
				m.RecordRenewal(witness, msg.Message.Renewal.Number)
			}
		}
		for _, note := range a.Notes {
			if note.Text != "releasing" {
				continue
			}
			pairs := make(map[string]any)
			for i := 0; i+1 < len(note.Pairs); i += 2 {
				pairs[note.Pairs[i].(string)] = note.Pairs[i+1]
			}
			started = append(started, pairs)
		}
	}
	return started
}
