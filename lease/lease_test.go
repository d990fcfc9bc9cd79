package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	terms = lease.Terms{Length: time.Second, Renewal: 100 * time.Millisecond, Drift: 0.1}
	owner = ident.NewIncarnation("owner", 1)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func inc(host ident.Host, boot uint64) ident.Incarnation { return ident.NewIncarnation(host, boot) }

func TestHolderNeedsMajority(t *testing.T) {
	c := qt.New(t)
	h := lease.NewHolder(terms)
	c.Assert(h.Expiry().IsZero(), qt.IsTrue)
	witnesses := []ident.Incarnation{inc("a", 1), inc("b", 1), inc("c", 1)}
	h.SetWitnesses(witnesses)
	h.RecordRenewal(inc("a", 1), at(0))
	c.Assert(h.Expiry().IsZero(), qt.IsTrue)
	h.RecordRenewal(inc("b", 2), at(0))
	c.Assert(h.Expiry().IsZero(), qt.IsTrue, qt.Commentf("another incarnation of a witness does not count"))
	h.RecordRenewal(inc("b", 1), at(100))
	c.Assert(h.Expiry(), qt.Equals, at(1000))
	h.RecordRenewal(inc("c", 1), at(300))
	c.Assert(h.Expiry(), qt.Equals, at(1100))
	h.RecordRenewal(inc("c", 1), at(200))
	c.Assert(h.Expiry(), qt.Equals, at(1100), qt.Commentf("an older acknowledgement does not shorten the lease"))
	c.Assert(h.ExpiryWith([]ident.Incarnation{inc("c", 1)}), qt.Equals, at(1300))
	c.Assert(h.ExpiryWith([]ident.Incarnation{inc("d", 1)}).IsZero(), qt.IsTrue)
}

func TestMajority(t *testing.T) {
	c := qt.New(t)
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3} {
		c.Check(lease.Majority(n), qt.Equals, want)
	}
}

func TestWitness(t *testing.T) {
	c := qt.New(t)
	self := inc("w", 5)
	w := lease.NewWitness(self, terms, at(0))
	c.Assert(w.Vote(at(500), owner, self), qt.IsFalse, qt.Commentf("an earlier incarnation may have promised"))
	c.Assert(w.Renew(at(600), owner), qt.IsTrue)
	c.Assert(w.Vote(at(1650), owner, self), qt.IsFalse, qt.Commentf("lease length plus drift have not passed"))
	c.Assert(w.VoteDelay(at(1650), owner), qt.Equals, 50*time.Millisecond)
	c.Assert(w.Vote(at(1700), owner, inc("other", 5)), qt.IsFalse, qt.Commentf("a witness of another host"))
	c.Assert(w.Vote(at(1700), owner, self), qt.IsTrue)
	c.Assert(w.Renew(at(1701), owner), qt.IsFalse, qt.Commentf("a vote is permanent"))
	c.Assert(w.Vote(at(1702), owner, self), qt.IsTrue)
	c.Assert(w.Renew(at(1703), inc("owner", 2)), qt.IsTrue, qt.Commentf("a new incarnation has a new lease"))
}

func TestWitnessVotesForEarlierIncarnation(t *testing.T) {
	c := qt.New(t)
	w := lease.NewWitness(inc("w", 5), terms, at(0))
	c.Assert(w.Vote(at(1099), owner, inc("w", 4)), qt.IsFalse)
	c.Assert(w.Vote(at(1100), owner, inc("w", 4)), qt.IsTrue)
}

func TestForget(t *testing.T) {
	c := qt.New(t)
	w := lease.NewWitness(inc("w", 5), terms, at(0))
	w.Renew(at(0), owner)
	w.Vote(at(2000), owner, inc("w", 5))
	keep := func(ident.Incarnation) bool { return true }
	w.Prune(at(90000), time.Minute, keep)
	c.Assert(w.Renew(at(90000), owner), qt.IsFalse)
	w.Prune(at(90000), time.Minute, func(ident.Incarnation) bool { return false })
	c.Assert(w.Renew(at(90000), owner), qt.IsTrue)
	h := lease.NewHolder(terms)
	h.SetWitnesses([]ident.Incarnation{inc("a", 1)})
	h.RecordRenewal(inc("a", 1), at(0))
	h.RecordRenewal(inc("b", 1), at(0))
	h.Prune(func(ident.Incarnation) bool { return false })
	c.Assert(h.LastRenewal(inc("a", 1)), qt.Equals, at(0))
	c.Assert(h.LastRenewal(inc("b", 1)).IsZero(), qt.IsTrue)
}
