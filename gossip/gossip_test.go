package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// entry returns an entry of a host's daemon with the given boot number.
func entry(host string, boot uint64) gossip.Entry {
	return gossip.Entry{Inc: ident.NewIncarnation(ident.Host(host), boot), Addr: host + ":1", Beat: 1}
}

// cluster simulates a fleet of daemons whose messages are delivered without delay or loss.
type cluster struct {
	states []*gossip.State
	now    time.Time
	down   map[int]bool
	// cut holds the pairs of a sender and a receiver between which messages are lost.
	cut map[[2]int]bool
	// messages is the number of messages sent, largest the size of the largest one in bytes.
	messages, largest int
}

func newCluster(n int) *cluster {
	c := &cluster{now: start, down: make(map[int]bool), cut: make(map[[2]int]bool)}
	for i := range n {
		c.states = append(c.states, gossip.NewState(entry(fmt.Sprintf("h%03d", i), 7), gossip.DefaultTimings(), uint64(i)))
	}
	for _, s := range c.states {
		for _, o := range c.states[:min(3, n)] {
			s.Seed(c.now, o.Self().Inc, o.Self().Addr)
		}
	}
	return c
}

// find returns the index and the state of the daemon on a host.
func (c *cluster) find(host ident.Host) (int, *gossip.State) {
	for i, s := range c.states {
		if s.Self().Inc.Host == host {
			return i, s
		}
	}
	return -1, nil
}

// round advances the time by one interval and lets every daemon that is not down gossip with its targets.
func (c *cluster) round(t *testing.T) {
	c.now = c.now.Add(gossip.DefaultTimings().Interval)
	for i, s := range c.states {
		if c.down[i] {
			continue
		}
		s.Update(func(*gossip.Entry) {})
		for _, target := range s.Targets(c.now) {
			k, to := c.find(target.Inc.Host)
			m := gossip.Message{From: s.Self().Inc, Entries: s.Digest(c.now, target.Inc.Host), Beats: s.Beats(c.now)}
			data, err := m.Encode()
			qt.New(t).Assert(err, qt.IsNil)
			c.messages++
			c.largest = max(c.largest, len(data))
			if to != nil && !c.down[k] && !c.cut[[2]int{i, k}] {
				to.Merge(c.now, m.From, m.Entries)
				unknown, _ := to.MergeBeats(c.now, m.Beats)
				to.Merge(c.now, m.From, s.Entries(unknown))
			}
		}
	}
}

// TestMembershipConverges checks that fleets of several sizes that know three seed addresses discover all daemons,
// suspect none that runs, detect the loss of a quarter of the daemons within 15 rounds and find them again.
func TestMembershipConverges(t *testing.T) {
	for _, n := range []int{4, 10, 66, 200} {
		c := qt.New(t)
		cl := newCluster(n)
		for range 40 {
			cl.round(t)
		}
		for _, s := range cl.states {
			c.Assert(s.Live(cl.now), qt.HasLen, n)
		}
		// No daemon is suspected while all run.
		for range 100 {
			cl.round(t)
			for _, s := range cl.states {
				c.Assert(s.Live(cl.now), qt.HasLen, n)
			}
		}
		lost := max(1, n/4)
		for i := range lost {
			cl.down[n-1-i] = true
		}
		rounds := 0
		for ; rounds < 40; rounds++ {
			cl.round(t)
			if len(cl.states[0].Live(cl.now)) == n-lost {
				break
			}
		}
		t.Logf("%d daemons: loss detected after %d rounds, largest message %d bytes, %.1f messages per daemon and round",
			n, rounds, cl.largest, float64(cl.messages)/float64(n)/float64(140+rounds))
		c.Assert(rounds < 15, qt.IsTrue, qt.Commentf("%d rounds", rounds))
		c.Assert(cl.largest < gossip.MaxMessage/2, qt.IsTrue)
		cl.down = make(map[int]bool)
		for range 40 {
			cl.round(t)
		}
		c.Assert(cl.states[0].Live(cl.now), qt.HasLen, n)
	}
}

// TestNewIncarnationReplacesOld checks that an entry of a new incarnation replaces that of an earlier one even if its
// heartbeat counter is lower, and never the other way round.
func TestNewIncarnationReplacesOld(t *testing.T) {
	c := qt.New(t)
	s := gossip.NewState(entry("a", 1), gossip.DefaultTimings(), 1)
	old := entry("b", 5)
	old.Beat = 900
	c.Assert(s.Merge(start, old.Inc, []gossip.Entry{old}), qt.DeepEquals, []ident.Host{"b"})
	c.Assert(s.Merge(start, old.Inc, []gossip.Entry{old}), qt.HasLen, 0)
	next := entry("b", 6)
	c.Assert(s.Merge(start, next.Inc, []gossip.Entry{next}), qt.DeepEquals, []ident.Host{"b"})
	c.Assert(s.Merge(start, old.Inc, []gossip.Entry{old}), qt.HasLen, 0, qt.Commentf("an entry of an earlier incarnation is ignored"))
	e, live := s.Find(start, "b")
	c.Assert(live, qt.IsTrue)
	c.Assert(e.Inc.Boot, qt.Equals, uint64(6))
	c.Assert(s.Merge(start, next.Inc, []gossip.Entry{entry("a", 9)}), qt.HasLen, 0, qt.Commentf("a daemon ignores entries about itself"))
}

// TestStaleEntryDoesNotKeepPeerAlive checks that receiving a known entry again does not postpone the suspicion of its
// daemon: only a higher heartbeat counter does.
func TestStaleEntryDoesNotKeepPeerAlive(t *testing.T) {
	c := qt.New(t)
	s := gossip.NewState(entry("a", 1), gossip.DefaultTimings(), 1)
	b := entry("b", 5)
	s.Merge(start, b.Inc, []gossip.Entry{b})
	late := start.Add(gossip.DefaultTimings().Suspect + time.Millisecond)
	s.Merge(late, b.Inc, []gossip.Entry{b})
	_, live := s.Find(late, "b")
	c.Assert(live, qt.IsFalse)
	b.Beat++
	s.Merge(late, b.Inc, []gossip.Entry{b})
	_, live = s.Find(late, "b")
	c.Assert(live, qt.IsTrue)
}

// reports are messages with the entry of a daemon: who sends it, how long after the one before, and by how much its
// heartbeat counter has risen.
type reports []struct {
	from  gossip.Entry
	after time.Duration
	rise  uint64
}

// TestHearsayIsNoSignOfLife guards against daemons that count as live because others pass their last entry on: a daemon
// that starts, or was cut off, takes lost ones for live.
func TestHearsayIsNoSignOfLife(t *testing.T) {
	c := qt.New(t)
	suspect := gossip.DefaultTimings().Suspect
	b, x := entry("b", 1), entry("x", 1)
	for _, test := range []struct {
		name    string
		reports reports
		live    bool
	}{
		{name: "first heard of", reports: reports{{b, 0, 1}}},
		{name: "heard of again", reports: reports{{b, 0, 1}, {b, suspect / 2, 0}}},
		{name: "heard from", reports: reports{{x, 0, 1}}, live: true},
		{name: "counter rises", reports: reports{{b, 0, 1}, {b, suspect / 2, 1}}, live: true},
		{name: "counter rose during a cut", reports: reports{{x, 0, 1}, {b, 3 * suspect, 50}}},
		{name: "counter rises after a cut", reports: reports{{x, 0, 1}, {b, 3 * suspect, 50}, {b, suspect / 2, 1}}, live: true},
	} {
		s := gossip.NewState(entry("a", 1), gossip.DefaultTimings(), 1)
		now, reported := start, x
		for _, r := range test.reports {
			now, reported.Beat = now.Add(r.after), reported.Beat+r.rise
			s.Merge(now, r.from.Inc, []gossip.Entry{reported})
		}
		_, live := s.Find(now, "x")
		c.Check(live, qt.Equals, test.live, qt.Commentf("%s", test.name))
		for _, e := range s.Digest(now.Add(suspect), "b") {
			c.Check(e.Inc.Host, qt.Not(qt.Equals), x.Inc.Host, qt.Commentf("%s: a lost daemon is passed on", test.name))
		}
	}
}

// TestLateStart starts a daemon in a fleet that has lost daemons; all that run answer its first message, but one whose
// messages never reach it. It guards against lost daemons that count as live, and against live ones that don't.
func TestLateStart(t *testing.T) {
	for _, n := range []int{4, 10, 66, 200} {
		c := qt.New(t)
		cl := newCluster(n)
		for range 40 {
			cl.round(t)
		}
		lost := max(1, n/8)
		for i := range lost {
			cl.down[i] = true
		}
		for range 15 {
			cl.round(t)
		}
		late := gossip.NewState(entry("late", 9), gossip.DefaultTimings(), 99)
		for i, s := range cl.states {
			late.Seed(cl.now, s.Self().Inc, s.Self().Addr)
			s.Merge(cl.now, late.Self().Inc, []gossip.Entry{late.Self()})
			if !cl.down[i] && i < n-1 {
				late.Merge(cl.now, s.Self().Inc, s.Digest(cl.now, "late"))
			}
		}
		cl.states = append(cl.states, late)
		cl.cut[[2]int{n - 1, n}] = true
		rounds := 0
		for live := 0; rounds < 40 && live < n+1-lost; rounds++ {
			cl.round(t)
			live = len(late.Live(cl.now))
			for i := range lost {
				_, counts := late.Find(cl.now, cl.states[i].Self().Inc.Host)
				c.Assert(counts, qt.IsFalse, qt.Commentf("%d daemons, round %d", n, rounds))
			}
		}
		t.Logf("%d daemons: all that are live are found after %d rounds", n, rounds)
		c.Check(rounds < 15, qt.IsTrue, qt.Commentf("%d rounds", rounds))
		for range 30 {
			cl.round(t)
			c.Assert(late.Live(cl.now), qt.HasLen, n+1-lost)
		}
	}
}

func TestSocket(t *testing.T) {
	c := qt.New(t)
	got := make(chan gossip.Message, 1)
	a, err := gossip.Listen("127.0.0.1:0", func(m gossip.Message) { got <- m }, logr.Discard())
	c.Assert(err, qt.IsNil)
	b, err := gossip.Listen("127.0.0.1:0", func(gossip.Message) {}, logr.Discard())
	c.Assert(err, qt.IsNil)
	sent := gossip.Message{
		From: ident.NewIncarnation("b", 2), Entries: []gossip.Entry{entry("b", 2)},
		Renewal: &gossip.Renewal{Number: 3}, Changed: &gossip.Version{Name: "x", Number: 9}, Urgent: true,
	}
	b.Send(a.Addr(), sent)
	select {
	case m := <-got:
		c.Assert(m, qt.DeepEquals, sent)
	case <-time.After(5 * time.Second):
		c.Fatal("no message received within 5 s")
	}
	b.Send("nonsense", sent)
	c.Assert(a.Close(), qt.IsNil)
	c.Assert(b.Close(), qt.IsNil)
}

func FuzzMessage(f *testing.F) {
	data, err := gossip.Message{From: ident.NewIncarnation("b", 2), Entries: []gossip.Entry{entry("b", 2)}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := gossip.DecodeMessage(data)
		if err == nil && len(m.Entries) > 0 {
			gossip.NewState(entry("a", 1), gossip.DefaultTimings(), 1).Merge(start, m.From, m.Entries)
		}
	})
}

// TestSuspectsFitOneDatagram checks that the largest report of suspect requests fits into one datagram, with the
// longest names that services have here.
func TestSuspectsFitOneDatagram(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	q := poison.New(poison.WithClock(clock), poison.WithCrashThreshold(100))
	const service = "rounds-desk-of-texas"
	var fingerprints []uint64
	for i := range 200 {
		fingerprints = append(fingerprints, uint64(i)<<55+1)
	}
	for crash := range 8 {
		q.RecordCrash(service, uint64(crash)<<60+1, fingerprints)
	}
	report := q.ReportFor(service, fingerprints)
	data, err := gossip.Message{From: ident.NewIncarnation("sidecar-san-antonio-12", 1<<41), Suspects: report}.Encode()
	c.Assert(err, qt.IsNil)
	back, err := gossip.DecodeMessage(data)
	c.Assert(err, qt.IsNil)
	c.Check(back.Suspects.Items, qt.HasLen, len(report.Items))
	c.Check(len(report.Items) > 30, qt.IsTrue, qt.Commentf("%d", len(report.Items)))
}
