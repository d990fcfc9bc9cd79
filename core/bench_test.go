package core_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/model"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// settledWorld returns a simulation of 20 hosts and 4096 slots that are all
// served, and one of its hosts.
func settledWorld(tb testing.TB) (*model.World, *model.Host) {
	w := model.New(model.Config{Hosts: 20, Places: 4, Slots: 4096, Seed: 5})
	w.StartAll()
	if !w.RunUntil(60*time.Second, func() bool { return w.Now() > 40*time.Second && w.Served() == 4096 }) {
		tb.Fatalf("served %d: %v", w.Served(), w.Err())
	}
	return w, w.Host(3)
}

func BenchmarkStepTick(b *testing.B) {
	_, h := settledWorld(b)
	m, now := h.Machine(), h.Clock()
	b.ReportAllocs()
	for b.Loop() {
		m.Step(now, core.Tick{})
	}
}

func BenchmarkStepRenew(b *testing.B) {
	w, h := settledWorld(b)
	m, now := h.Machine(), h.Clock()
	in := core.Received{Message: wire.Message{
		From: w.Host(4).Inc(), To: h.Inc(), Renew: &wire.Renew{Round: 9},
	}}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(now, in)
	}
}

func BenchmarkViewLookup(b *testing.B) {
	_, h := settledWorld(b)
	v := h.Machine().View()
	b.ReportAllocs()
	hash := uint64(0)
	for b.Loop() {
		hash++
		if _, ok := v.Lookup(model.Service, hash); !ok {
			b.Fatal("no service")
		}
	}
}

func BenchmarkViewServes(b *testing.B) {
	_, h := settledWorld(b)
	v, now := h.Machine().View(), h.Clock()
	shard := v.Served()[0].Shard
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := v.Serves(shard, now); !ok {
			b.Fatal("not served")
		}
	}
}

// TestRequestPathAllocatesNothing guards against allocations in the two calls
// that each request makes on a view.
func TestRequestPathAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	_, h := settledWorld(t)
	v, now := h.Machine().View(), h.Clock()
	shard := v.Served()[0].Shard
	c.Assert(testing.AllocsPerRun(1000, func() {
		v.Lookup(model.Service, 77)
		v.Serves(shard, now)
	}), qt.Equals, 0.0)
}

// BenchmarkControl measures the cost of the control protocol by members and
// slots: when idle, for the loss of one host, and for a baseline that renews
// leases on the log. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	renewal, err := table.Encode(table.Record{
		ID:      ident.RecordID{By: ident.NewIncarnation("host-10", 1), N: 100000},
		Kind:    table.KindLeave,
		Removal: &table.Removal{Inc: ident.NewIncarnation("host-10", 1)},
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, slots := range []uint32{256, 4096} {
		for _, hosts := range []int{5, 10, 20, 50, 100} {
			b.Run(fmt.Sprintf("members=%d/slots=%d", hosts, slots), func(b *testing.B) {
				for range b.N {
					measureControl(b, hosts, slots)
				}
				rounds := float64(hosts) / core.DefaultTimings().RenewInterval.Seconds()
				b.ReportMetric(rounds, "base-appends/s")
				b.ReportMetric(rounds*float64(len(renewal)), "base-B/s/member")
			})
		}
	}
}

func measureControl(b *testing.B, hosts int, slots uint32) {
	const quiet = 20 * time.Second
	w := model.New(model.Config{Hosts: hosts, Places: 4, Slots: slots, Seed: 5})
	w.StartAll()
	w.Run(60 * time.Second)
	w.Measure = true
	before, began := w.Count(), time.Now()
	w.Run(quiet)
	after, took := w.Count(), time.Since(began)
	at := w.Now()
	w.Host(1).Kill()
	w.RunUntil(10*time.Second, func() bool { return w.Served() == int(slots) })
	lost := w.Now() - at
	w.Run(10 * time.Second)
	if w.Err() != nil {
		b.Fatal(w.Err())
	}
	loss := w.Count()
	per := quiet.Seconds() * float64(hosts)
	b.ReportMetric(float64(after.Messages-before.Messages)/per, "msg/s/member")
	b.ReportMetric(float64(after.MessageBytes-before.MessageBytes)/per, "B/s/member")
	b.ReportMetric(float64(after.Appends-before.Appends)/quiet.Seconds(), "appends/s")
	b.ReportMetric(float64(took.Microseconds())/per, "us/s/member")
	b.ReportMetric(float64(loss.Appends-after.Appends), "appends/loss")
	b.ReportMetric(float64(loss.AppendBytes-after.AppendBytes), "B/loss")
	b.ReportMetric(lost.Seconds(), "s/loss")
}

// BenchmarkPlaceLoss measures the loss of one of 8 places with 400 members and
// 4096 slots. Run it with -benchtime 1x.
func BenchmarkPlaceLoss(b *testing.B) {
	const hosts, places, slots = 400, 8, 4096
	for range b.N {
		w := model.New(model.Config{Hosts: hosts, Places: places, Slots: slots, Seed: 5})
		w.StartAll()
		w.Run(20 * time.Second)
		boot := w.Count()
		began := time.Now()
		w.Run(10 * time.Second)
		b.ReportMetric(float64(time.Since(began).Microseconds())/hosts/10, "quiet-us/s/member")
		before, at := w.Count(), w.Now()
		for i := 0; i < hosts; i += places {
			w.Host(i).Kill()
		}
		served := w.RunUntil(10*time.Second, func() bool { return w.Served() == slots })
		b.ReportMetric((w.Now() - at).Seconds(), "s/loss")
		most := 0
		for range 20 {
			last := w.Count().Appends
			w.Run(time.Second)
			most = max(most, w.Count().Appends-last)
		}
		if w.Err() != nil || !served {
			b.Fatalf("served %d of %d: %v", w.Served(), slots, w.Err())
		}
		b.ReportMetric(float64(boot.Appends), "appends/boot")
		b.ReportMetric(float64(w.Count().Appends-before.Appends), "appends/loss")
		b.ReportMetric(float64(most), "most-appends/s")
	}
}

func BenchmarkTableApply(b *testing.B) {
	for _, published := range []bool{false, true} {
		b.Run(fmt.Sprintf("view=%t", published), func(b *testing.B) {
			w, h := settledWorld(b)
			chunks, err := h.Machine().Export()
			if err != nil {
				b.Fatal(err)
			}
			t, err := table.Restore(chunks)
			if err != nil {
				b.Fatal(err)
			}
			n := h.Machine().View().Served()[0].Shard.Slot
			st, _ := t.State(ident.NewShard(model.Service, n))
			seq, id, epoch := t.Seq(h.Inc()), uint64(1000), st.Epoch
			succ := [2]ident.Incarnation{w.Host(5).Inc(), w.Host(6).Inc()}
			b.ReportAllocs()
			for b.Loop() {
				seq++
				id++
				res := t.Apply(t.Next(), table.Record{
					ID: ident.RecordID{By: h.Inc(), N: id}, Kind: table.KindSuccessors, Seq: seq,
					Changes: &table.Changes{Service: model.Service, Slots: []table.Change{
						{Slot: n, Replaces: epoch, Successors: succ},
					}},
				})
				if !res.Applied {
					b.Fatal(res.Reason)
				}
				epoch++
				if published {
					t.View()
				}
			}
		})
	}
}
