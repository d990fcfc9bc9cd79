package sched_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/sched"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func demand(class string, priority int, now time.Time, target, giveUp time.Duration) sched.Demand {
	return sched.Demand{Class: class, Priority: priority, Target: now.Add(target), GiveUp: now.Add(giveUp)}
}

// busy returns a queue with all its slots taken by calls of 100 ms.
func busy(slots int) *sched.Queue {
	q := sched.NewQueue()
	q.Announce(slots)
	for range slots {
		q.Arrive(start, demand("x", 1, start, time.Second, time.Second))
	}
	return q
}

func TestFreeSlot(t *testing.T) {
	c := qt.New(t)
	q := sched.NewQueue()
	_, v, after := q.Arrive(start, demand("x", 1, start, time.Second, time.Second))
	c.Assert(v, qt.Equals, sched.Refuse, qt.Commentf("no slots are announced"))
	c.Assert(after > 0, qt.IsTrue)
	q.Announce(1)
	_, v, _ = q.Arrive(start, demand("x", 1, start, time.Second, time.Second))
	c.Assert(v, qt.Equals, sched.Run)
	_, v, _ = q.Arrive(start, demand("x", 1, start, time.Second, time.Second))
	c.Assert(v, qt.Equals, sched.Wait)
}

func TestOrder(t *testing.T) {
	c := qt.New(t)
	q := busy(1)
	var waiting []*sched.Waiter
	for _, d := range []sched.Demand{
		demand("x", 2, start, 900*time.Millisecond, 2*time.Second),
		demand("x", 1, start, 900*time.Millisecond, 2*time.Second),
		demand("x", 1, start, 800*time.Millisecond, 2*time.Second),
		demand("x", 0, start, 900*time.Millisecond, 2*time.Second),
	} {
		w, v, _ := q.Arrive(start, d)
		c.Assert(v, qt.Equals, sched.Wait)
		waiting = append(waiting, w)
	}
	now := start
	for _, want := range []int{3, 2, 1, 0} {
		now = now.Add(100 * time.Millisecond)
		q.Finish(now, "x", 100*time.Millisecond, 100*time.Millisecond, sched.Served)
		w, v := q.Next(now)
		c.Assert(v, qt.Equals, sched.Run)
		c.Assert(w == waiting[want], qt.IsTrue)
	}
}

func TestLateOnesGoBehind(t *testing.T) {
	c := qt.New(t)
	q := busy(1)
	late, _, _ := q.Arrive(start, demand("x", 1, start, 250*time.Millisecond, 2*time.Second))
	fresh, _, _ := q.Arrive(start, demand("x", 1, start, 900*time.Millisecond, 2*time.Second))
	now := start.Add(300 * time.Millisecond)
	q.Finish(now, "x", 100*time.Millisecond, 300*time.Millisecond, sched.Served)
	w, _ := q.Next(now)
	c.Assert(w == fresh, qt.IsTrue)
	q.Finish(now, "x", 100*time.Millisecond, 300*time.Millisecond, sched.Served)
	w, v := q.Next(now)
	c.Assert(w == late && v == sched.Run, qt.IsTrue)
}

func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	q := busy(1)
	for range 3 {
		_, v, _ := q.Arrive(start, demand("x", 1, start, time.Second, time.Second))
		c.Assert(v, qt.Equals, sched.Wait)
	}
	_, v, after := q.Arrive(start, demand("x", 2, start, 200*time.Millisecond, 300*time.Millisecond))
	c.Assert(v, qt.Equals, sched.Refuse)
	c.Assert(after >= 60*time.Millisecond && after <= time.Second, qt.IsTrue, qt.Commentf("%v", after))
}

// TestShortCallAmongLongOnes has all slots taken by long calls: one of them ends
// every few milliseconds, so a short call with a near target is worth its wait.
func TestShortCallAmongLongOnes(t *testing.T) {
	c := qt.New(t)
	q := sched.NewQueue()
	q.Announce(18)
	now := start
	for _, class := range []string{"long", "short"} {
		took := map[string]time.Duration{"long": 360 * time.Millisecond, "short": 22 * time.Millisecond}[class]
		for range 50 {
			q.Arrive(now, demand(class, 2, now, time.Second, 4*time.Second))
			q.Finish(now, class, 100*time.Millisecond, took, sched.Served)
		}
	}
	for range 18 {
		_, v, _ := q.Arrive(now, demand("long", 2, now, time.Second, 4*time.Second))
		c.Assert(v, qt.Equals, sched.Run)
	}
	_, v, _ := q.Arrive(now, demand("short", 1, now, 100*time.Millisecond, 250*time.Millisecond))
	c.Assert(v, qt.Equals, sched.Wait)
	c.Assert(q.Wait() < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", q.Wait()))
}

func TestExpiredWaiterIsRefused(t *testing.T) {
	c := qt.New(t)
	q := busy(1)
	w, v, _ := q.Arrive(start, demand("x", 1, start, 400*time.Millisecond, 400*time.Millisecond))
	c.Assert(v, qt.Equals, sched.Wait)
	got, v := q.Next(start.Add(390 * time.Millisecond))
	c.Assert(got == w && v == sched.Refuse, qt.IsTrue)
	got, _ = q.Next(start.Add(390 * time.Millisecond))
	c.Assert(got == nil, qt.IsTrue)
}

func TestGate(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(start)
	g := sched.NewGate(clock)
	g.Announce(1)
	first, err := g.Enter(context.Background(), demand("x", 1, start, time.Second, time.Second))
	c.Assert(err, qt.IsNil)
	entered := make(chan error)
	go func() {
		ticket, err := g.Enter(context.Background(), demand("x", 1, start, time.Second, time.Second))
		if err == nil {
			ticket.Done(sched.Served)
		}
		entered <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error)
	go func() {
		_, err := g.Enter(ctx, demand("x", 1, start, time.Second, time.Second))
		gone <- err
	}()
	for {
		if _, waiting, _ := g.State(); waiting == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	err = <-gone
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.NotRun)
	first.Done(sched.Served)
	c.Assert(<-entered, qt.IsNil)
	running, waiting, _ := g.State()
	c.Assert(running, qt.Equals, 0)
	c.Assert(waiting, qt.Equals, 0)
}

// kind is a kind of call in a played load.
type kind struct {
	name     string
	rate     float64
	work     time.Duration
	priority int
	target   time.Duration
	budget   time.Duration
	worth    float64
	late     float64
}

// tally is what callers of a kind got.
type tally struct {
	asked, inTime, late, failed int
	// heldFailed is the time that calls were held that were not served.
	heldFailed time.Duration
	// returned counts calls that came back after a refusal, served those that
	// were then answered.
	returned, servedReturned int
}

func (t tally) worth(k kind) float64 {
	return (float64(t.inTime)*k.worth + float64(t.late)*k.late) / (float64(t.asked) * k.worth)
}

type event struct {
	at   time.Time
	kind int
	// began is when the caller's first attempt began.
	began time.Time
	again bool
}

type running struct {
	end   time.Time
	began time.Time
	event event
	plan  time.Duration
}

// play plays a load against the queue: calls arrive at random, a refused caller
// comes back once when it was told to, within a third of the time it has left.
func play(seed uint64, slots int, speed float64, kinds []kind, length time.Duration) []tally {
	rng := rand.New(rand.NewPCG(seed, 9))
	q := sched.NewQueue()
	q.Announce(slots)
	tallies := make([]tally, len(kinds))
	var arrivals []event
	for i, k := range kinds {
		for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / k.rate {
			begin := start.Add(time.Duration(at * float64(time.Second)))
			arrivals = append(arrivals, event{at: begin, kind: i, began: begin})
			tallies[i].asked++
		}
	}
	var busy []running
	waiting := make(map[*sched.Waiter]event)
	begin := func(now time.Time, e event) {
		k := kinds[e.kind]
		work := time.Duration(float64(k.work) / speed * (0.7 + 0.6*rng.Float64()))
		busy = append(busy, running{end: now.Add(work), began: now, event: e, plan: q.Service(k.name)})
	}
	refuse := func(now time.Time, e event, after time.Duration) {
		k := kinds[e.kind]
		left := k.budget - now.Sub(e.began)
		if e.again || left <= 0 {
			tallies[e.kind].failed++
			tallies[e.kind].heldFailed += now.Sub(e.at)
			return
		}
		tallies[e.kind].returned++
		arrivals = append(arrivals, event{at: now.Add(min(after, left/3)), kind: e.kind, began: e.began, again: true})
	}
	for now := start; now.Before(start.Add(length + 3*time.Second)); now = now.Add(time.Millisecond) {
		rest := busy[:0]
		for _, r := range busy {
			if now.Before(r.end) {
				rest = append(rest, r)
				continue
			}
			k := kinds[r.event.kind]
			q.Finish(now, k.name, r.plan, r.end.Sub(r.began), sched.Served)
			t := &tallies[r.event.kind]
			switch took := now.Sub(r.event.began); {
			case took <= k.target:
				t.inTime++
			case took <= k.budget:
				t.late++
			default:
				t.failed++
			}
			if r.event.again && now.Sub(r.event.began) <= k.budget {
				t.servedReturned++
			}
		}
		busy = rest
		for {
			w, v := q.Next(now)
			if w == nil {
				break
			}
			if e := waiting[w]; v == sched.Run {
				begin(now, e)
			} else {
				refuse(now, e, q.Wait())
			}
			delete(waiting, w)
		}
		var later []event
		due := arrivals
		arrivals = nil
		for _, e := range due {
			if now.Before(e.at) {
				later = append(later, e)
				continue
			}
			k := kinds[e.kind]
			w, v, after := q.Arrive(now, sched.Demand{
				Class: k.name, Priority: k.priority, Target: e.began.Add(k.target), GiveUp: e.began.Add(k.budget),
			})
			switch v {
			case sched.Run:
				begin(now, e)
			case sched.Wait:
				waiting[w] = e
			case sched.Refuse:
				refuse(now, e, after)
			}
		}
		arrivals = append(arrivals, later...)
	}
	return tallies
}

// TestOverload plays one and a half times and twice what the upstream can serve.
// Callers must get nearly the worth that the capacity allows, the more urgent
// kind must not suffer, and nobody is held for long in vain.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{0.7, 1.0, 1.5, 2.0} {
		// 18 slots serve 18 s of work in a second.
		kinds := []kind{
			{"change", 26 * factor, 120 * time.Millisecond, 1, 400 * time.Millisecond, 1500 * time.Millisecond, 2, 0.2},
			{"lookup", 130 * factor, 110 * time.Millisecond, 2, 300 * time.Millisecond, 1200 * time.Millisecond, 1, 0.1},
		}
		got := play(1, 18, 1, kinds, 12*time.Second)
		text := ""
		worth, possible := 0.0, 0.0
		for i, k := range kinds {
			worth += got[i].worth(k) * float64(got[i].asked) * k.worth
			possible += float64(got[i].asked) * k.worth
			text += fmt.Sprintf(" %s: asked %d, in time %d, late %d, failed %d, held in vain %v, back %d of %d;", k.name,
				got[i].asked, got[i].inTime, got[i].late, got[i].failed, got[i].heldFailed.Round(time.Millisecond), got[i].servedReturned, got[i].returned)
		}
		t.Logf("load %.1f: worth %.3f;%s", factor, worth/possible, text)
		c := qt.New(t)
		urgent, other := got[0].worth(kinds[0]), got[1].worth(kinds[1])
		c.Check(urgent >= other-0.05, qt.IsTrue, qt.Commentf("load %.1f: urgent %.2f, other %.2f", factor, urgent, other))
		allowed := 1.0
		if factor > 1 {
			// The urgent kind in full, the other with what is left.
			left := 18 - 26*factor*0.12
			allowed = (26*factor*2 + left/0.11) / (26*factor*2 + 130*factor)
		}
		c.Check(worth/possible >= 0.9*min(1, allowed), qt.IsTrue, qt.Commentf("load %.1f: worth %.3f of %.3f", factor, worth/possible, allowed))
	}
}

// A class whose calls take very different times needs more time in hand: it is
// refused at a wait at which an even one is taken.
func TestUnevenServiceTimesNeedTimeInHand(t *testing.T) {
	c := qt.New(t)
	q := sched.NewQueue()
	q.Announce(1)
	now := start
	for i := range 200 {
		for class, took := range map[string]time.Duration{
			"even":   100 * time.Millisecond,
			"uneven": time.Duration(30+140*(i%2)) * time.Millisecond,
		} {
			now = now.Add(200 * time.Millisecond)
			q.Arrive(now, demand(class, 1, now, time.Second, time.Second))
			q.Finish(now, class, 100*time.Millisecond, took, sched.Served)
		}
	}
	now = now.Add(10 * time.Second)
	q.Arrive(now, demand("even", 1, now, time.Second, time.Second))
	target := 290 * time.Millisecond
	_, even, _ := q.Arrive(now, demand("even", 1, now, target, target))
	c.Check(even, qt.Equals, sched.Wait)
	refused, _, _ := q.Arrive(now, demand("uneven", 0, now, target, target))
	c.Check(refused, qt.IsNil)
}
