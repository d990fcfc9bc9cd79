package spread_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/spread"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	slots       = ident.DefaultSlots
	limit       = 20.0
	serviceTime = 0.005
	capacity    = limit / serviceTime
	// smoothing is the weight of the newest second in an exponential moving average of measurements.
	smoothing = 0.3
	// noise is the relative standard deviation of a measurement.
	noise = 0.05
)

// member is one simulated member: its planner and its measured load.
type member struct {
	inc     ident.Incarnation
	planner *spread.Planner
	load    wire.Load
	// rates are the measured rates of the slots that the member owns.
	rates []spread.Rate
}

// fleet simulates the members of one service under synthetic request rates. One step is one second.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	members []*member
	owner   []int
	base    []float64
	rate    []float64
	// measured is the rate of each slot as measured by its owner, zero before the first measurement. The value
	// moves with the slot when its owner changes.
	measured []float64
	total    float64
	moved    int
	opts     []spread.Option
}

func newFleet(seed int64, members int, opts ...spread.Option) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1e9, 0), opts: opts,
		owner: make([]int, slots), base: make([]float64, slots), rate: make([]float64, slots),
		measured: make([]float64, slots),
	}
	for range members {
		f.join(limit)
	}
	incs := make([]ident.Incarnation, members)
	for i, m := range f.members {
		incs[i] = m.inc
	}
	sum := 0.0
	for s := range slots {
		inc, _ := spread.Rendezvous(ident.Slot(s), incs)
		f.owner[s] = slices.Index(incs, inc)
		f.base[s] = f.rng.ExpFloat64()
		sum += f.base[s]
	}
	for s := range slots {
		f.base[s] /= sum
	}
	return f
}

func (f *fleet) join(limit float64) *member {
	host := ident.Host(fmt.Sprintf("host-%d", len(f.members)))
	m := &member{
		inc: ident.NewIncarnation(host, 1), planner: spread.New(f.opts...),
		load: wire.Load{Service: "s", Limit: limit},
	}
	f.members = append(f.members, m)
	return m
}

// setLoad sets the request rates: total requests per second over all slots, including those of the hot slots.
func (f *fleet) setLoad(total float64, hot map[ident.Slot]float64) {
	f.total = total
	rest := total
	for _, r := range hot {
		rest -= r
	}
	for s := range slots {
		f.rate[s] = f.base[s] * rest
	}
	for s, r := range hot {
		f.rate[s] += r
	}
}

// hotKeys returns the rates of n random slots that carry total requests per second together, with a Zipf
// distribution.
func (f *fleet) hotKeys(n int, total float64) map[ident.Slot]float64 {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
	}
	hot := map[ident.Slot]float64{}
	for i := range n {
		hot[ident.Slot(f.rng.Intn(slots))] += total / float64(i+1) / sum
	}
	return hot
}

// measure updates the measured load of each member and the measured rates of its slots.
func (f *fleet) measure() {
	sums := make([]float64, len(f.members))
	for _, m := range f.members {
		m.rates = m.rates[:0]
	}
	for s, o := range f.owner {
		m := f.members[o]
		seen := f.rate[s] * (1 + noise*f.rng.NormFloat64())
		if old := f.measured[s]; old != 0 {
			seen = old + smoothing*(seen-old)
		}
		f.measured[s] = seen
		m.rates = append(m.rates, spread.Rate{Slot: ident.Slot(s), PerSecond: seen})
		sums[o] += f.rate[s]
	}
	for i, m := range f.members {
		blend := func(old, now float64) float64 { return old + smoothing*(now*(1+noise*f.rng.NormFloat64())-old) }
		work := sums[i] * serviceTime
		m.load.Rate = blend(m.load.Rate, sums[i])
		m.load.Busy = blend(m.load.Busy, min(work, m.load.Limit))
		m.load.Queued = blend(m.load.Queued, min(256, 10*max(0, work-m.load.Limit)))
		m.load.Owned = uint32(len(m.rates))
	}
}

// step advances the simulation by one second: all members measure their load, and about half of them plan.
func (f *fleet) step() {
	f.now = f.now.Add(time.Second)
	f.measure()
	for _, i := range f.rng.Perm(len(f.members)) {
		if f.rng.Intn(2) == 0 {
			f.plan(i)
		}
	}
}

// plan lets member i offer slots to a peer and moves the slots that the peer accepts.
func (f *fleet) plan(i int) {
	m := f.members[i]
	var peers []spread.Peer
	for _, j := range f.rng.Perm(len(f.members)) {
		if j != i && len(peers) < 2 {
			peers = append(peers, spread.Peer{Inc: f.members[j].inc, Load: f.members[j].load})
		}
	}
	offer, ok := m.planner.Plan(f.now, m.load, m.rates, peers)
	if !ok {
		return
	}
	to := slices.IndexFunc(f.members, func(o *member) bool { return o.inc == offer.To() })
	receiver := f.members[to]
	n := receiver.planner.Accept(f.now, receiver.load,
		wire.Offer{Service: "s", Slots: offer.Slots(), Rate: offer.Rate()}, &m.load)
	m.planner.RecordAnswer(f.now, offer, n)
	for _, s := range offer.Slots()[:n] {
		f.owner[s] = to
		f.moved++
	}
	m.rates = slices.DeleteFunc(m.rates, func(r spread.Rate) bool {
		if f.owner[r.Slot] == i {
			return false
		}
		receiver.rates = append(receiver.rates, r)
		return true
	})
	receiver.planner.StartCooldown(f.now, offer.Slots()[:n])
}

// imbalance returns the ratio of the highest to the mean load of the members, and the lowest ratio that any
// placement of whole slots could reach.
func (f *fleet) imbalance() (actual, ideal float64) {
	sums := make([]float64, len(f.members))
	for s, o := range f.owner {
		sums[o] += f.rate[s]
	}
	mean := f.total / float64(len(f.members))
	return slices.Max(sums) / mean, max(1, slices.Max(f.rate)/mean)
}
