package spread_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/spread"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

var start = time.Unix(1e9, 0)

// loaded returns the load of a member that serves rate requests per second at 5 ms each.
func loaded(rate float64, owned uint32) wire.Load {
	return wire.Load{Service: "s", Busy: rate * serviceTime, Limit: limit, Rate: rate, Owned: owned}
}

func peer(host ident.Host, load wire.Load) spread.Peer {
	return spread.Peer{Inc: ident.NewIncarnation(host, 1), Load: load}
}

// evenRates returns n slots that carry the same number of requests per second each.
func evenRates(n int, each float64) []spread.Rate {
	rates := make([]spread.Rate, n)
	for i := range rates {
		rates[i] = spread.Rate{Slot: ident.Slot(i), PerSecond: each}
	}
	return rates
}

func TestPlan(t *testing.T) {
	cold := loaded(100, 0)
	cold.Cold = true
	coldFull := loaded(2200, 0)
	coldFull.Cold = true
	leaving := loaded(0, 0)
	leaving.Leaving = true
	other := loaded(0, 0)
	other.Service = "other"
	hot := append(evenRates(10, 100), spread.Rate{Slot: 99, PerSecond: 2000})
	overloaded := loaded(4800, 2)
	overloaded.Busy, overloaded.Queued = limit, 256
	two := []spread.Rate{{Slot: 1, PerSecond: 1600}, {Slot: 99, PerSecond: 3200}}
	tests := []struct {
		name   string
		own    wire.Load
		rates  []spread.Rate
		peers  []spread.Peer
		to     ident.Host
		most   int
		avoids ident.Slot
	}{
		{"to the lighter of two", loaded(3000, 30), evenRates(30, 100), []spread.Peer{peer("a", loaded(2000, 20)), peer("b", loaded(1000, 10))}, "b", 5, 999},
		{"within hysteresis", loaded(2300, 23), evenRates(23, 100), []spread.Peer{peer("a", loaded(2000, 20))}, "", 0, 999},
		{"too small to matter", loaded(150, 3), evenRates(3, 50), []spread.Peer{peer("a", loaded(0, 3))}, "", 0, 999},
		{"leaving", loaded(3000, 30), evenRates(30, 100), []spread.Peer{peer("a", leaving)}, "", 0, 999},
		{"other service", loaded(3000, 30), evenRates(30, 100), []spread.Peer{peer("a", other)}, "", 0, 999},
		{"cold", loaded(3000, 3000), evenRates(3000, 1), []spread.Peer{peer("a", cold)}, "a", 8, 999},
		{"cold and full", loaded(4000, 30), evenRates(30, 100), []spread.Peer{peer("a", coldFull)}, "", 0, 999},
		{"no peers", loaded(3000, 30), evenRates(30, 100), nil, "", 0, 999},
		{"hot key stays, others go", loaded(3000, 11), hot, []spread.Peer{peer("a", loaded(1000, 10))}, "a", 5, 99},
		{"a long queue does not drive out the hottest", overloaded, two, []spread.Peer{peer("a", loaded(2000, 20))}, "a", 1, 99},
		{"idle counts", loaded(0, 100), evenRates(100, 0), []spread.Peer{peer("a", loaded(0, 20))}, "a", 20, 999},
		{"idle counts even", loaded(0, 100), evenRates(100, 0), []spread.Peer{peer("a", loaded(0, 90))}, "", 0, 999},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			offer, ok := spread.New().Plan(start, test.own, test.rates, test.peers)
			c.Assert(ok, qt.Equals, test.to != "")
			c.Assert(offer.To().Host, qt.Equals, test.to)
			c.Assert(len(offer.Slots()) <= test.most, qt.IsTrue, qt.Commentf("%d slots", len(offer.Slots())))
			c.Assert(offer.Slots(), qt.Not(qt.Contains), test.avoids)
		})
	}
}

func TestPlanKeepsBudgetAndCooldown(t *testing.T) {
	c := qt.New(t)
	p := spread.New(spread.WithMoveBudget(12), spread.WithCooldown(time.Minute))
	light := []spread.Peer{peer("a", loaded(0, 0))}
	moved := 0
	now := start
	for range 20 {
		offer, ok := p.Plan(now, loaded(3900, 390), evenRates(390, 10), light)
		if ok {
			p.RecordAnswer(now, offer, uint32(len(offer.Slots())))
			moved += len(offer.Slots())
		}
		now = now.Add(time.Second)
	}
	c.Assert(moved, qt.Equals, 12+12*19/60)

	offer, ok := spread.New().Plan(start, loaded(3900, 30), evenRates(30, 130), light)
	c.Assert(ok, qt.IsTrue)
	p = spread.New(spread.WithCooldown(time.Minute))
	p.StartCooldown(start, offer.Slots())
	again, ok := p.Plan(start.Add(30*time.Second), loaded(3900, 30), evenRates(30, 130), light)
	c.Assert(ok, qt.IsTrue)
	for _, slot := range again.Slots() {
		c.Assert(offer.Slots(), qt.Not(qt.Contains), slot)
	}
	again, ok = spread.New().Plan(start.Add(time.Minute), loaded(3900, 30), evenRates(30, 130), light)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.Slots(), qt.DeepEquals, offer.Slots())
}

func TestPlanWaitsForAnswer(t *testing.T) {
	c := qt.New(t)
	p := spread.New()
	light := []spread.Peer{peer("a", loaded(0, 0))}
	plan := func(after time.Duration) bool {
		_, ok := p.Plan(start.Add(after), loaded(3900, 390), evenRates(390, 10), light)
		return ok
	}
	c.Assert(plan(0), qt.IsTrue)
	c.Assert(plan(time.Second), qt.IsFalse)
	c.Assert(plan(6*time.Second), qt.IsTrue, qt.Commentf("no answer counts as declined"))
}

func TestConsider(t *testing.T) {
	offer := wire.Offer{Service: "s", Slots: make([]ident.Slot, 10), Rate: 1000}
	counts := wire.Offer{Service: "s", Slots: make([]ident.Slot, 10)}
	leaving := loaded(0, 0)
	leaving.Leaving = true
	cold := loaded(100, 0)
	cold.Cold = true
	sender, idle := loaded(3000, 30), loaded(0, 30)
	tests := []struct {
		name   string
		own    wire.Load
		offer  wire.Offer
		sender *wire.Load
		want   uint32
	}{
		{"all", loaded(500, 5), offer, &sender, 10},
		{"until even", loaded(2000, 20), offer, &sender, 5},
		{"heavier than the sender", loaded(3100, 20), offer, &sender, 0},
		{"unknown sender", loaded(1950, 20), offer, nil, 4},
		{"leaving", leaving, offer, &sender, 0},
		{"other service", loaded(0, 0), wire.Offer{Service: "x", Slots: offer.Slots}, &sender, 0},
		{"cold", cold, offer, &sender, 8},
		{"by count", loaded(0, 24), counts, &idle, 3},
		{"empty", loaded(0, 0), wire.Offer{Service: "s"}, &sender, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, spread.New().Accept(start, test.own, test.offer, test.sender), qt.Equals, test.want)
		})
	}
}

func TestConsiderCountsAcceptedSlots(t *testing.T) {
	c := qt.New(t)
	p := spread.New()
	sender := loaded(3000, 30)
	offer := wire.Offer{Service: "s", Slots: make([]ident.Slot, 10), Rate: 1000}
	c.Assert(p.Accept(start, loaded(1000, 10), offer, &sender), qt.Equals, uint32(10))
	c.Assert(p.Accept(start, loaded(1000, 10), offer, &sender), qt.Equals, uint32(5))
	c.Assert(p.Accept(start, loaded(1000, 10), offer, &sender), qt.Equals, uint32(2))
	c.Assert(p.Accept(start.Add(time.Minute), loaded(2700, 27), offer, &sender), qt.Equals, uint32(1))
}

// BenchmarkPlan measures one call of Plan for a member that owns a quarter of the slots.
func BenchmarkPlan(b *testing.B) {
	rates := evenRates(1024, 3)
	light := []spread.Peer{peer("a", loaded(1000, 10)), peer("b", loaded(2000, 10))}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := spread.New().Plan(start, loaded(3072, 1024), rates, light); !ok {
			b.Fatal("no offer")
		}
	}
}
