package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// learnRate is the part of a new service time that goes into the mean of its
	// class.
	learnRate = 0.08
	// firstService stands for the service time of a class that was never
	// measured.
	firstService = 100 * time.Millisecond
	// rateWindow is the time over which rates are averaged.
	rateWindow = time.Second
	// leastRetry is the shortest time after which a refused caller is told to
	// come back.
	leastRetry = 60 * time.Millisecond
	// mostRetry is the longest such time: a queue lasts no longer.
	mostRetry = time.Second
	// waitCaution is by how much a wait is taken to be longer than reckoned.
	waitCaution = 1.5
	// serviceCaution is how many mean deviations a service time is taken to be longer
	// than its mean: three of four calls take no longer.
	serviceCaution = 1.0
	// firstDeviation is the deviation of a service time that was measured once, as a
	// part of it.
	firstDeviation = 0.2
	// leastShare is the least part of the slots that calls of any rank are
	// reckoned with.
	leastShare = 0.1
	// spareLoad is the part of the capacity up to which calls that miss their
	// target are worth serving.
	spareLoad = 1.1
	// answerMargin is kept for the way of an answer back to the caller.
	answerMargin = 15 * time.Millisecond
	// maxWaiting is the number of calls that may wait for each slot: more could
	// not be served in any useful time.
	maxWaiting = 12
)

// Verdict is what becomes of a call.
type Verdict uint8

// Verdicts.
const (
	// Run lets the call go to the upstream now.
	Run Verdict = iota + 1
	// Wait makes the call wait.
	Wait
	// Refuse turns the call away.
	Refuse
)

// Result is how a call that ran has ended.
type Result uint8

// Results.
const (
	// Served means that the upstream answered in full.
	Served Result = iota + 1
	// Shed means that the upstream refused the call.
	Shed
	// Failed means that there was no answer to learn from.
	Failed
)

// Demand is what a call asks for.
type Demand struct {
	// Class names calls that take about the same time.
	Class string
	// Priority ranks calls; 0 goes first.
	Priority int
	// Target is when an answer stops being worth most, GiveUp when it is worth
	// nothing any more.
	Target, GiveUp time.Time
}

// Waiter is a call that waits.
type Waiter struct {
	demand  Demand
	arrived time.Time
	service time.Duration
	gone    bool
	// verdict receives Run or Refuse; it belongs to the Gate.
	verdict chan Verdict
}

// Demand returns what the waiting call asks for.
func (w *Waiter) Demand() Demand { return w.demand }

// Queue decides about calls. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*Waiter
	means   map[string]time.Duration
	// spreads are the mean deviations from the means.
	spreads map[string]time.Duration
	// busy is the service time of the calls that run, summed over their means.
	busy time.Duration

	offered, served rate
	work            time.Duration
	// demand is the work that arrives, in seconds a second, by rank.
	demand map[int]*rate
}

// NewQueue returns a queue for an upstream that has announced no slots yet.
func NewQueue() *Queue {
	return &Queue{means: make(map[string]time.Duration), spreads: make(map[string]time.Duration), demand: make(map[int]*rate)}
}

// Announce sets the number of calls that the upstream runs at once.
func (q *Queue) Announce(slots int) { q.slots = max(0, slots) }

// Slots returns the number of calls that the upstream runs at once.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of calls at the upstream.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Forget drops the measured service times, for a new life of the upstream.
func (q *Queue) Forget() {
	clear(q.means)
	clear(q.spreads)
}

// Service returns the mean service time of a class.
func (q *Queue) Service(class string) time.Duration {
	if d, ok := q.means[class]; ok {
		return d
	}
	return firstService
}

// Arrive decides about a new call. The waiter is set when the verdict is Wait;
// after is when to come back when it is Refuse.
func (q *Queue) Arrive(now time.Time, d Demand) (w *Waiter, v Verdict, after time.Duration) {
	q.offered.add(now, 1)
	service := q.Service(d.Class)
	q.learnWork(service)
	q.learnDemand(now, d.Priority, service)
	if q.running < q.slots && len(q.waiting) == 0 {
		if d.GiveUp.Sub(now) <= 0 {
			return nil, Refuse, leastRetry
		}
		q.start(service)
		return nil, Run, 0
	}
	wait := q.waitFor(now, d, service)
	if !q.isWorthWaiting(now, d, wait, service) || len(q.waiting) >= maxWaiting*max(1, q.slots) {
		return nil, Refuse, q.retryAfter(wait)
	}
	w = &Waiter{demand: d, arrived: now, service: service, verdict: make(chan Verdict, 1)}
	q.waiting = append(q.waiting, w)
	return w, Wait, 0
}

// isWorthWaiting reports whether a call that would wait so long should. It should
// if it will meet its target, reckoned with caution, since more urgent calls may
// still come. One that would miss it waits only while the upstream serves more
// than arrives, so that late answers cost no call its target; else it is better
// turned away at once, as long as it has time to come back.
func (q *Queue) isWorthWaiting(now time.Time, d Demand, wait, service time.Duration) bool {
	likely := service + time.Duration(serviceCaution*float64(q.spread(d.Class)))
	need := time.Duration(waitCaution*float64(wait)) + likely
	if !now.Add(need).After(d.Target) {
		return true
	}
	offered, capacity := q.Load(now)
	need = time.Duration(waitCaution*float64(max(wait, q.Wait()))) + likely
	return offered <= spareLoad*capacity && !now.Add(need).After(d.GiveUp)
}

// waitFor estimates how long a call would wait for a slot: until those ahead of
// it are served, and until the next call that runs ends.
func (q *Queue) waitFor(now time.Time, d Demand, service time.Duration) time.Duration {
	ahead := time.Duration(0)
	probe := &Waiter{demand: d, arrived: now, service: service}
	for _, w := range q.waiting {
		if compare(now, w, probe) <= 0 {
			ahead += w.service
		}
	}
	return q.drain(ahead, q.share(now, d.Priority))
}

// share returns the part of the slots that calls of a rank find free of calls of
// better ranks, which go before them even if they come later.
func (q *Queue) share(now time.Time, priority int) float64 {
	better := 0.0
	for rank, r := range q.demand {
		if rank < priority {
			better += r.value(now)
		}
	}
	return max(leastShare, 1-better/float64(max(1, q.slots)))
}

// drain returns how long it takes until the given work of waiting calls has begun
// on a part of the slots and one more slot is free.
func (q *Queue) drain(ahead time.Duration, share float64) time.Duration {
	if q.slots == 0 {
		return time.Hour
	}
	next := time.Duration(0)
	if q.running >= q.slots {
		// Calls that run end one after the other, a mean service time over their
		// number apart.
		next = q.busy / time.Duration(q.running)
	}
	return time.Duration(float64(ahead+next)/share) / time.Duration(q.slots)
}

// retryAfter tells when there should be room: when half of what waits is served.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(max(leastRetry, wait/2), mostRetry)
}

// Wait estimates how long a call of the least rank would wait.
func (q *Queue) Wait() time.Duration {
	sum := time.Duration(0)
	for _, w := range q.waiting {
		sum += w.service
	}
	return q.drain(sum, 1)
}

// compare orders waiting calls: the better rank first, then those that can still
// meet their target, then the nearest target.
func compare(now time.Time, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.demand.Priority, b.demand.Priority),
		cmp.Compare(a.lateness(now), b.lateness(now)),
		a.demand.Target.Compare(b.demand.Target),
	)
}

// lateness is 0 for a call that can still meet its target and 1 for others.
func (w *Waiter) lateness(now time.Time) int {
	if now.Add(w.service).After(w.demand.Target) {
		return 1
	}
	return 0
}

// Next returns the next waiter that is decided about: Run for one that has a free
// slot now, Refuse for one that can't be served any more. It returns nil when all
// others have to wait on.
func (q *Queue) Next(now time.Time) (*Waiter, Verdict) {
	for i, w := range q.waiting {
		if w.gone || now.Add(w.service/2+answerMargin).After(w.demand.GiveUp) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			if w.gone {
				return q.Next(now)
			}
			return w, Refuse
		}
	}
	if q.running >= q.slots || len(q.waiting) == 0 {
		return nil, Wait
	}
	best := 0
	for i := range q.waiting {
		if compare(now, q.waiting[i], q.waiting[best]) < 0 {
			best = i
		}
	}
	w := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	q.start(w.service)
	return w, Run
}

func (q *Queue) start(service time.Duration) {
	q.running++
	q.busy += service
}

// Cancel removes a waiter whose caller has gone.
func (q *Queue) Cancel(w *Waiter) { w.gone = true }

// Finish takes the end of a call that ran. Planned is the service time that was
// reckoned with when it started.
func (q *Queue) Finish(now time.Time, class string, planned, took time.Duration, result Result) {
	q.running--
	q.busy = max(0, q.busy-planned)
	if q.running == 0 {
		q.busy = 0
	}
	if result != Served {
		return
	}
	q.served.add(now, 1)
	mean, ok := q.means[class]
	if !ok {
		q.means[class] = took
		return
	}
	spread := q.spread(class)
	q.spreads[class] = spread + time.Duration(learnRate*float64((took-mean).Abs()-spread))
	q.means[class] = mean + time.Duration(learnRate*float64(took-mean))
}

// spread returns the mean deviation of a class's service times from their mean.
func (q *Queue) spread(class string) time.Duration {
	if d, ok := q.spreads[class]; ok {
		return d
	}
	return time.Duration(firstDeviation * float64(q.Service(class)))
}

// learnDemand keeps the work that arrives by rank.
func (q *Queue) learnDemand(now time.Time, priority int, service time.Duration) {
	r, ok := q.demand[priority]
	if !ok {
		r = &rate{}
		q.demand[priority] = r
	}
	r.add(now, service.Seconds())
}

// learnWork keeps the mean service time over the mix of calls that arrive.
func (q *Queue) learnWork(service time.Duration) {
	if q.work == 0 {
		q.work = service
	}
	q.work += time.Duration(learnRate / 2 * float64(service-q.work))
}

// Load returns the rate of calls that arrive and the rate that could be served,
// per second.
func (q *Queue) Load(now time.Time) (offered, capacity float64) {
	if q.work > 0 {
		capacity = float64(q.slots) / q.work.Seconds()
	}
	return q.offered.value(now), capacity
}

// rate counts events per second.
type rate struct {
	since time.Time
	count float64
	last  float64
	// whole is set once a first window has ended.
	whole bool
}

func (r *rate) add(now time.Time, n float64) {
	r.roll(now)
	r.count += n
}

func (r *rate) roll(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	passed := now.Sub(r.since)
	if passed < rateWindow {
		return
	}
	r.last = r.count / passed.Seconds()
	r.count, r.since, r.whole = 0, now, true
}

// value blends the last window with the present one.
func (r *rate) value(now time.Time) float64 {
	r.roll(now)
	passed := now.Sub(r.since).Seconds() / rateWindow.Seconds()
	if !r.whole {
		return r.count / rateWindow.Seconds() / max(passed, leastWindow)
	}
	return r.last*(1-passed) + r.count/rateWindow.Seconds()
}

// leastWindow is the part of the first window before which its rate is not taken
// for more than what has come.
const leastWindow = 0.3
