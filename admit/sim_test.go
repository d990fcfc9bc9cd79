package admit_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/admit"
)

const (
	slots   = 20
	service = 10 * time.Millisecond
	timeout = 500 * time.Millisecond
	simTime = 20 * time.Second
	hotKey  = 1
)

// load is the offered load of one simulation, as multiples of the upstream's
// capacity.
type load struct {
	others, hot float64
	// admission is off in the baseline: the upstream then queues all requests
	// itself and processes them even after their callers have timed out.
	admission, fair bool
}

type event struct {
	at     time.Time
	finish bool
	took   time.Duration
	job    job
}

type job struct {
	hash    uint64
	arrived time.Time
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim is a discrete-event simulation of an upstream with a fixed number of
// slots, in virtual time.
type sim struct {
	load    load
	rng     *rand.Rand
	queue   eventQueue
	now     time.Time
	policy  *admit.Policy
	waiting map[*admit.Waiter]job
	backlog []job
	busy    int
	inTime  int
	others  []time.Duration
}

func newSim(l load) *sim {
	s := &sim{load: l, rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), waiting: make(map[*admit.Waiter]job)}
	s.policy = admit.NewPolicy(0, l.fair)
	s.policy.Limit().Announce(s.now, slots, false)
	return s
}

// run returns the goodput (answers before the timeout) as a fraction of the
// capacity, and the 99th percentile of the response times of all keys except
// the hot one.
func (s *sim) run() (goodput float64, p99 time.Duration) {
	end := s.now.Add(simTime)
	s.scheduleArrival(s.load.others, 0)
	s.scheduleArrival(s.load.hot, hotKey)
	for len(s.queue) > 0 {
		e, _ := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		if e.finish {
			s.finish(e)
			continue
		}
		s.submit(e.job)
		if e.job.hash == hotKey {
			s.scheduleArrival(s.load.hot, hotKey)
		} else {
			s.scheduleArrival(s.load.others, 0)
		}
	}
	capacity := slots * float64(simTime/service)
	slices.Sort(s.others)
	if len(s.others) > 0 {
		p99 = s.others[len(s.others)*99/100]
	}
	return float64(s.inTime) / capacity, p99
}

// scheduleArrival schedules the next arrival of a Poisson process with the
// given fraction of the capacity as its rate. Hash zero stands for a random
// key.
func (s *sim) scheduleArrival(fraction float64, hash uint64) {
	if fraction == 0 {
		return
	}
	if hash == 0 {
		hash = 2 + s.rng.Uint64N(1000)
	}
	gap := time.Duration(s.rng.ExpFloat64() * float64(service) / slots / fraction)
	at := s.now.Add(gap)
	heap.Push(&s.queue, event{at: at, job: job{hash: hash, arrived: at}})
}

func (s *sim) submit(j job) {
	if !s.load.admission {
		s.backlog = append(s.backlog, j)
		s.start()
		return
	}
	w, evicted, verdict := s.policy.Admit(s.now, j.hash, j.arrived.Add(timeout))
	if evicted != nil {
		delete(s.waiting, evicted)
	}
	switch verdict {
	case admit.Admitted:
		s.backlog = append(s.backlog, j)
		s.start()
	case admit.Queued:
		s.waiting[w] = j
	case admit.Shed, admit.Expired:
	}
}

// start assigns admitted requests to free slots of the upstream.
func (s *sim) start() {
	for s.busy < slots && len(s.backlog) > 0 {
		j := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.busy++
		took := time.Duration(s.rng.ExpFloat64() * float64(service))
		heap.Push(&s.queue, event{at: s.now.Add(took), finish: true, took: took, job: j})
	}
}

func (s *sim) finish(e event) {
	s.busy--
	total := s.now.Sub(e.job.arrived)
	if total <= timeout {
		s.inTime++
	}
	if e.job.hash != hotKey {
		s.others = append(s.others, total)
	}
	if s.load.admission {
		s.policy.Finish(s.now, e.took, admit.Served)
		for w, verdict := s.policy.Next(s.now); w != nil; w, verdict = s.policy.Next(s.now) {
			if verdict == admit.Admitted {
				s.backlog = append(s.backlog, s.waiting[w])
			}
			delete(s.waiting, w)
		}
	}
	s.start()
}

// TestGoodputUnderOverload guards against congestion collapse: with admission
// control, goodput stays at 0.9 or more of the capacity under overload, and at
// least five times that without it.
func TestGoodputUnderOverload(t *testing.T) {
	for name, factor := range map[string]float64{"2x": 2, "5x": 5} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			with, _ := newSim(load{others: factor, admission: true, fair: true}).run()
			without, _ := newSim(load{others: factor}).run()
			c.Assert(with >= 0.9, qt.IsTrue, qt.Commentf("goodput %.3f of capacity", with))
			c.Assert(with >= 5*without, qt.IsTrue, qt.Commentf("%.3f with, %.3f without admission", with, without))
		})
	}
}

// TestHotKeyDoesNotStarveOthers guards against a hot key that fills the queue:
// with fair queueing it may at most double the p99 response time of the other
// keys, and in a single queue that p99 must be at least 1.5 times as high.
func TestHotKeyDoesNotStarveOthers(t *testing.T) {
	c := qt.New(t)
	_, alone := newSim(load{others: 0.5, admission: true, fair: true}).run()
	_, fair := newSim(load{others: 0.5, hot: 2, admission: true, fair: true}).run()
	_, unfair := newSim(load{others: 0.5, hot: 2, admission: true}).run()
	comment := qt.Commentf("p99 of other keys: %v alone, %v fair, %v in one queue", alone, fair, unfair)
	c.Assert(fair <= 2*alone, qt.IsTrue, comment)
	c.Assert(unfair >= 3*fair/2, qt.IsTrue, comment)
}

// BenchmarkOverload reports goodput as a fraction of capacity, and the p99
// response time of other keys beside a hot one as a multiple of their p99
// without it.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, factor := range []struct {
			name string
			part float64
		}{{"2x", 2}, {"5x", 5}} {
			with, _ := newSim(load{others: factor.part, admission: true, fair: true}).run()
			without, _ := newSim(load{others: factor.part}).run()
			b.ReportMetric(with, "goodput-"+factor.name)
			b.ReportMetric(without, "goodput-"+factor.name+"-unadmitted")
		}
		_, alone := newSim(load{others: 0.5, admission: true, fair: true}).run()
		_, fair := newSim(load{others: 0.5, hot: 2, admission: true, fair: true}).run()
		_, unfair := newSim(load{others: 0.5, hot: 2, admission: true}).run()
		b.ReportMetric(float64(fair)/float64(alone), "p99-others-fair")
		b.ReportMetric(float64(unfair)/float64(alone), "p99-others-unfair")
	}
}
