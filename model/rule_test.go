package model_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const ruleHosts = 8

// rule is a world in which the trace of one rule is played.
type rule struct {
	*qt.C
	w    *model.World
	cut  map[[2]int]bool
	slot ident.Slot
}

// newRule returns a world in which the slot is one that fits.
func newRule(t *testing.T, fits func(r *rule, st table.State) bool) *rule {
	r := &rule{C: qt.New(t), cut: map[[2]int]bool{}}
	r.w = model.New(model.Config{Hosts: ruleHosts, Places: 4, Slots: 4, Seed: 3})
	r.w.Cut = func(from, to int) bool { return r.cut[[2]int{from, to}] }
	r.w.Log().Ordered = true
	r.w.StartAll()
	r.Assert(r.w.RunUntil(20*time.Second, func() bool { return r.w.Served() == 4 }), qt.IsTrue)
	r.w.Run(5 * time.Second)
	for r.slot = 0; r.slot < 4; r.slot++ {
		if fits == nil || fits(r, r.state()) {
			return r
		}
	}
	r.Fatal("no slot fits")
	return nil
}

// secondHolds reports whether the second successor keeps its lease when the
// owner and the first successor are lost.
func secondHolds(r *rule, st table.State) bool {
	lost := 0
	for _, i := range r.witnesses(r.index(st.Successors[1])) {
		if i == r.index(st.Owner) || i == r.index(st.Successors[0]) {
			lost++
		}
	}
	return lost < 2
}

// firstHasNothing reports whether the first successor owns no slot.
func firstHasNothing(r *rule, st table.State) bool {
	return r.w.Reference().OwnedSlots(st.Successors[0]) == 0
}

func (r *rule) state() table.State {
	st, _ := r.w.Reference().State(ident.NewShard(model.Service, r.slot))
	return st
}

func (r *rule) index(inc ident.Incarnation) int {
	for i := range ruleHosts {
		if r.w.Host(i).Inc() == inc {
			return i
		}
	}
	r.Fatalf("no host runs %s", inc)
	return -1
}

func (r *rule) witnesses(i int) []int {
	var out []int
	for _, inc := range r.w.Reference().Witnesses(r.w.Host(i).Inc()) {
		out = append(out, r.index(inc))
	}
	return out
}

// other returns a host that is none of those given.
func (r *rule) other(not ...int) int {
	for i := range ruleHosts {
		free := true
		for _, j := range not {
			free = free && i != j
		}
		if free {
			return i
		}
	}
	return -1
}

func (r *rule) both(i, j int, cut bool) {
	r.cut[[2]int{i, j}], r.cut[[2]int{j, i}] = cut, cut
}

func (r *rule) serves(i int) bool {
	_, ok := r.w.Host(i).Serves(r.slot)
	return ok
}

func (r *rule) check() {
	r.Helper()
	r.Assert(r.w.Err(), qt.IsNil, qt.Commentf("%s", r.w.Trace()))
}

// TestTwoHearOfANumber moves a slot while only one witness hears its owner;
// the append would land after the successor has acted.
func TestTwoHearOfANumber(t *testing.T) {
	r := newRule(t, nil)
	st := r.state()
	owner, heir := r.index(st.Owner), r.index(st.Successors[0])
	set := r.witnesses(owner)
	to := r.other(owner, heir)
	r.both(owner, set[1], true)
	r.both(owner, set[2], true)
	r.w.Log().Stuck = true
	r.w.Host(owner).Give(core.MoveOrder{
		Service: model.Service, Slots: []ident.Slot{r.slot}, To: r.w.Host(to).Inc(),
	})
	r.w.Run(600 * time.Millisecond)
	r.w.Host(owner).Kill()
	r.Assert(r.w.RunUntil(4*time.Second, func() bool { return r.serves(heir) }), qt.IsTrue)
	r.w.Log().Stuck = false
	r.w.Run(3 * time.Second)
	r.check()
}

// TestNumberMustMatch has the owner die while its move is under way. The heir
// must wait for the log then.
func TestNumberMustMatch(t *testing.T) {
	r := newRule(t, nil)
	st := r.state()
	owner, heir := r.index(st.Owner), r.index(st.Successors[0])
	to := r.other(owner, heir)
	r.w.Log().Stuck = true
	r.w.Host(owner).Give(core.MoveOrder{
		Service: model.Service, Slots: []ident.Slot{r.slot}, To: r.w.Host(to).Inc(),
	})
	r.w.Run(600 * time.Millisecond)
	r.w.Host(owner).Kill()
	r.w.Run(4 * time.Second)
	r.w.Log().Stuck = false
	r.w.Run(3 * time.Second)
	r.check()
	r.Assert(r.w.Owners(r.slot), qt.HasLen, 1)
}

// TestBothSetsHold replaces a witness and has the owner read that back late,
// while two of the new set don't hear it any more.
func TestBothSetsHold(t *testing.T) {
	r := newRule(t, nil)
	owner := r.index(r.state().Owner)
	set := r.witnesses(owner)
	r.cut[[2]int{set[0], owner}] = true
	r.w.Host(owner).Stall = true
	joining := -1
	r.Assert(r.w.RunUntil(6*time.Second, func() bool {
		now := r.witnesses(owner)
		joining = now[2]
		return now[0] != set[0]
	}), qt.IsTrue)
	r.Assert(r.serves(owner), qt.IsTrue)
	r.cut[[2]int{set[0], owner}] = false
	r.both(owner, set[1], true)
	r.both(owner, joining, true)
	r.w.Run(4 * time.Second)
	r.check()
	r.Assert(r.serves(owner), qt.IsFalse)
	r.Assert(r.w.Owners(r.slot), qt.HasLen, 1)
}

// TestLeaverTakesNothingOver has the first successor write its leave and read
// it back late, while the owner dies.
func TestLeaverTakesNothingOver(t *testing.T) {
	r := newRule(t, firstHasNothing)
	st := r.state()
	owner, first, second := r.index(st.Owner), r.index(st.Successors[0]), r.index(st.Successors[1])
	r.w.Host(first).Stall = true
	r.w.Host(first).SetUpstream(false)
	r.w.Run(500 * time.Millisecond)
	r.w.Host(owner).Kill()
	r.Assert(r.w.RunUntil(4*time.Second, func() bool { return r.serves(second) }), qt.IsTrue)
	r.w.Run(2 * time.Second)
	r.check()
}

// TestTakeoverInheritsSuccessors has an owner and its first successor die, the
// latter with its takeover under way; the second successor reads late.
func TestTakeoverInheritsSuccessors(t *testing.T) {
	r := newRule(t, secondHolds)
	st := r.state()
	owner, first, second := r.index(st.Owner), r.index(st.Successors[0]), r.index(st.Successors[1])
	r.w.Log().Stuck = true
	r.w.Host(owner).Kill()
	r.Assert(r.w.RunUntil(4*time.Second, func() bool { return r.serves(first) }), qt.IsTrue)
	r.w.Run(200 * time.Millisecond)
	r.w.Host(first).Kill()
	r.Assert(r.w.RunUntil(4*time.Second, func() bool { return r.serves(second) }), qt.IsTrue)
	r.w.Host(second).Stall = true
	r.w.Log().Stuck = false
	r.w.Run(time.Second)
	r.check()
	r.Assert(r.serves(second), qt.IsTrue, qt.Commentf("%s", r.w.Trace()))
}

// TestStopComesFirst holds the taker's record back from the old owner, which
// must have stopped before it wrote it.
func TestStopComesFirst(t *testing.T) {
	r := newRule(t, nil)
	owner := r.index(r.state().Owner)
	to := r.other(owner)
	r.w.Host(owner).Stall = true
	r.w.Host(owner).Give(core.MoveOrder{
		Service: model.Service, Slots: []ident.Slot{r.slot}, To: r.w.Host(to).Inc(),
	})
	r.Assert(r.w.RunUntil(2*time.Second, func() bool { return r.serves(to) }), qt.IsTrue)
	r.w.Run(2 * time.Second)
	r.check()
}
