package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smoothing is the weight of a new sample in the exponentially weighted averages of
	// service times.
	smoothing = 0.08
	// defaultService is the assumed service time of a class that has no measurement
	// yet.
	defaultService = 100 * time.Millisecond
	// rateWindow is the window over which rates are averaged.
	rateWindow = time.Second
	// minRetryAfter is the shortest delay after which a refused caller is told to
	// retry.
	minRetryAfter = 60 * time.Millisecond
	// maxRetryAfter is the longest such delay: a queue drains within that time.
	maxRetryAfter = time.Second
	// waitMargin is the factor by which an estimated wait is multiplied, since more
	// urgent calls may still arrive.
	waitMargin = 1.5
	// serviceMargin is the number of mean deviations that are added to the mean service
	// time of a call. With one deviation, three of four calls take no longer than the
	// result.
	serviceMargin = 1.0
	// defaultDeviation is the assumed mean deviation of a service time that was
	// measured once, as a fraction of that time.
	defaultDeviation = 0.2
	// minShare is the smallest fraction of the slots that wait estimates assume for
	// calls of any priority.
	minShare = 0.1
	// maxLoadForLate is the highest load, as a multiple of the capacity, at which calls
	// that will miss their target are still queued.
	maxLoadForLate = 1.1
	// answerMargin is the time reserved for the transport of an answer back to the
	// caller.
	answerMargin = 15 * time.Millisecond
	// maxWaitingPerSlot is the number of calls that may wait for each slot. More than
	// that could not be served in any useful time.
	maxWaitingPerSlot = 12
)

// Verdict is the decision about a call.
type Verdict uint8

// Verdicts.
const (
	// Run means that the call goes to the upstream now.
	Run Verdict = iota + 1
	// Wait means that the call is queued.
	Wait
	// Refuse means that the call is rejected.
	Refuse
)

// Result is how a call that ran ended.
type Result uint8

// Results.
const (
	// Served means that the upstream answered in full.
	Served Result = iota + 1
	// Shed means that the upstream refused the call because of its load.
	Shed
	// Failed means that the call ended without an answer, so that its duration says
	// nothing about the service time.
	Failed
)

// Demand describes a call that asks for a slot.
type Demand struct {
	// Class names a group of calls with similar service times, which are measured
	// together.
	Class string
	// Priority orders calls. Lower values go first; 0 is the highest priority.
	Priority int
	// Target is the time after which an answer loses most of its value. GiveUp is the
	// time after which it has none.
	Target, GiveUp time.Time
}

// Waiter is a queued call.
type Waiter struct {
	demand   Demand
	arrived  time.Time
	service  time.Duration // the service time estimated at arrival
	canceled bool
	// displaced is set when a more urgent call has taken the place of this one.
	displaced bool
	// verdict receives Run or Refuse. Only the Gate uses it.
	verdict chan Verdict
}

// Demand returns the demand with which the call arrived.
func (w *Waiter) Demand() Demand { return w.demand }

// Queue decides about calls. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*Waiter
	// means holds the mean service time of each class.
	means map[string]time.Duration
	// deviations holds the mean deviation of the service times of each class from their
	// mean.
	deviations map[string]time.Duration
	// runningWork is the sum of the estimated service times of the running calls.
	runningWork time.Duration

	offered, served rate
	warmup          warmup
	slowness        slowness
	// meanService is the mean service time over the mix of calls that arrive.
	meanService time.Duration
	// arrivingWork is the service time that arrives per second, in seconds, by
	// priority.
	arrivingWork map[int]*rate
}

// NewQueue returns a queue for an upstream that has not announced its slots yet. Until
// it does, no call runs.
func NewQueue() *Queue {
	return &Queue{
		means: make(map[string]time.Duration), deviations: make(map[string]time.Duration),
		arrivingWork: make(map[int]*rate),
	}
}

// Announce sets the number of calls that the upstream runs concurrently.
func (q *Queue) Announce(slots int) { q.slots = max(0, slots) }

// SetWarmup limits the calls that start in any second before the given time, at which the
// upstream has warmed up. A limit of 0 stands for none.
func (q *Queue) SetWarmup(limit int, until time.Time) { q.warmup.limit, q.warmup.until = limit, until }

// Slots returns the number of calls that the upstream runs concurrently.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of calls that occupy a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ResetServiceTimes discards the measured service times. It is called when the upstream has
// restarted.
func (q *Queue) ResetServiceTimes() {
	clear(q.means)
	clear(q.deviations)
	q.slowness.reset()
}

// ReportSlowness records how long work takes at the upstream at present, in proportion to
// the usual time, as the upstream says.
func (q *Queue) ReportSlowness(now time.Time, value float64) { q.slowness.report(now, value) }

// ServiceTime returns the mean service time of a class, or defaultService if none of its
// calls was measured.
func (q *Queue) ServiceTime(class string) time.Duration {
	if d, ok := q.means[class]; ok {
		return d
	}
	return defaultService
}

// Arrive decides about a new call. The waiter w is set when the verdict is Wait. When
// it is Refuse, after is the delay before a retry.
func (q *Queue) Arrive(now time.Time, d Demand) (w *Waiter, v Verdict, after time.Duration) {
	q.offered.add(now, 1)
	service := q.ServiceTime(d.Class)
	q.updateMeanService(service)
	q.recordArrivingWork(now, d.Priority, service)
	if q.canStart(now) && len(q.waiting) == 0 {
		if d.GiveUp.Sub(now) <= 0 {
			return nil, Refuse, minRetryAfter
		}
		q.start(now, service)
		return nil, Run, 0
	}
	wait := q.estimateWait(now, d, service)
	w = &Waiter{demand: d, arrived: now, service: service, verdict: make(chan Verdict, 1)}
	if !q.shouldWait(now, d, wait, service) || !q.makeRoom(now, w) {
		return nil, Refuse, q.retryAfter(wait)
	}
	q.waiting = append(q.waiting, w)
	return w, Wait, 0
}

// makeRoom reports whether the queue has a place for a call. In a full queue a call takes
// the place of the one that would be served last, if it would be served before that one.
func (q *Queue) makeRoom(now time.Time, w *Waiter) bool {
	places := maxWaitingPerSlot * max(1, q.slots)
	var last *Waiter
	for _, o := range q.waiting {
		if o.canceled || o.displaced {
			places++
		} else if last == nil || compare(now, o, last) > 0 {
			last = o
		}
	}
	if len(q.waiting) < places {
		return true
	}
	if last == nil || compare(now, w, last) >= 0 {
		return false
	}
	last.displaced = true
	return true
}

// shouldWait reports whether a call with the given estimated wait should be queued. A
// call that is expected to meet its target is queued. The estimates include safety
// margins, since more urgent calls may still arrive. A call that will miss its target
// is queued only while the load is within maxLoadForLate, so that late answers don't
// make other calls miss their targets. Otherwise it is refused at once, while its
// caller still has time to retry.
func (q *Queue) shouldWait(now time.Time, d Demand, wait, service time.Duration) bool {
	likely := service + time.Duration(serviceMargin*float64(q.deviation(d.Class)))
	likely = time.Duration(float64(likely) * q.slowness.factor(now))
	need := time.Duration(waitMargin*float64(wait)) + likely
	if !now.Add(need).After(d.Target) {
		return true
	}
	offered, capacity := q.Load(now)
	need = time.Duration(waitMargin*float64(max(wait, q.LongestWait(now)))) + likely
	return offered <= maxLoadForLate*capacity && !now.Add(need).After(d.GiveUp)
}

// estimateWait estimates how long a call would wait for a slot: the time until the
// calls ahead of it are served and the next running call ends.
func (q *Queue) estimateWait(now time.Time, d Demand, service time.Duration) time.Duration {
	ahead, count := time.Duration(0), 0
	probe := &Waiter{demand: d, arrived: now, service: service}
	for _, w := range q.waiting {
		if compare(now, w, probe) <= 0 {
			ahead += w.service
			count++
		}
	}
	return max(q.drainTime(now, ahead, q.availableShare(now, d.Priority)), q.warmup.delay(now, count))
}

// availableShare returns the fraction of the slots that calls of higher priorities
// leave to a priority. Those calls go first even if they arrive later.
func (q *Queue) availableShare(now time.Time, priority int) float64 {
	higher := 0.0
	for other, r := range q.arrivingWork {
		if other < priority {
			higher += r.value(now)
		}
	}
	return max(minShare, 1-higher/float64(max(1, q.slots)))
}

// drainTime returns the time until the waiting calls ahead, with the given total
// service time, have started on a fraction of the slots and one more slot is free. It
// follows the upstream's present speed.
func (q *Queue) drainTime(now time.Time, ahead time.Duration, share float64) time.Duration {
	if q.slots == 0 {
		return time.Hour
	}
	next := time.Duration(0)
	if q.running >= q.slots {
		// Running calls end at intervals of their mean service time divided by
		// their number.
		next = q.runningWork / time.Duration(q.running)
	}
	return time.Duration(float64(ahead+next)*q.slowness.factor(now)/share) / time.Duration(q.slots)
}

// retryAfter returns the delay before a retry: half of the estimated wait, by which
// time about half of the queue is served, within minRetryAfter and maxRetryAfter.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(max(minRetryAfter, wait/2), maxRetryAfter)
}

// LongestWait estimates how long a call of the lowest priority would wait.
func (q *Queue) LongestWait(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, w := range q.waiting {
		sum += w.service
	}
	return max(q.drainTime(now, sum, 1), q.warmup.delay(now, len(q.waiting)))
}

// compare orders waiting calls: by priority, then calls that can still meet their
// target before others, then by target time.
func compare(now time.Time, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.demand.Priority, b.demand.Priority),
		cmp.Compare(a.lateness(now), b.lateness(now)),
		a.demand.Target.Compare(b.demand.Target),
	)
}

// lateness returns 0 for a call that can still meet its target and 1 for others.
func (w *Waiter) lateness(now time.Time) int {
	if now.Add(w.service).After(w.demand.Target) {
		return 1
	}
	return 0
}

// Next removes the next call that is to be decided about from the queue. The verdict is
// Run for a call that gets a free slot now, and Refuse for one that can no longer be
// served before its caller gives up or whose place a more urgent call has taken. Next returns nil and Wait when all remaining calls
// have to wait.
func (q *Queue) Next(now time.Time) (*Waiter, Verdict) {
	for i, w := range q.waiting {
		if w.canceled || w.displaced || now.Add(w.service/2+answerMargin).After(w.demand.GiveUp) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			if w.canceled {
				return q.Next(now)
			}
			return w, Refuse
		}
	}
	if len(q.waiting) == 0 || !q.canStart(now) {
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
	q.start(now, w.service)
	return w, Run
}

// canStart reports whether a call may start now: a slot is free, and an upstream that
// is cold bears another call.
func (q *Queue) canStart(now time.Time) bool {
	return q.running < q.slots && q.warmup.delay(now, 0) <= 0
}

// start accounts for a call that starts to run.
func (q *Queue) start(now time.Time, service time.Duration) {
	q.warmup.record(now)
	q.running++
	q.runningWork += service
}

// Cancel marks a waiting call whose caller has stopped waiting. Next removes it.
func (q *Queue) Cancel(w *Waiter) { w.canceled = true }

// Finish accounts for the end of a call that ran. The parameter estimated is the
// service time that was estimated when the call started, took is the measured one.
func (q *Queue) Finish(now time.Time, class string, estimated, took time.Duration, result Result) {
	q.running--
	q.runningWork = max(0, q.runningWork-estimated)
	if q.running == 0 {
		q.runningWork = 0
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
	q.slowness.observe(now, mean, took)
	deviation := q.deviation(class)
	q.deviations[class] = deviation + time.Duration(smoothing*float64((took-mean).Abs()-deviation))
	q.means[class] = mean + time.Duration(smoothing*float64(took-mean))
}

// deviation returns the mean deviation of the service times of a class from their mean.
func (q *Queue) deviation(class string) time.Duration {
	if d, ok := q.deviations[class]; ok {
		return d
	}
	return time.Duration(defaultDeviation * float64(q.ServiceTime(class)))
}

// recordArrivingWork adds the estimated service time of a new call to the rate of its
// priority.
func (q *Queue) recordArrivingWork(now time.Time, priority int, service time.Duration) {
	r, ok := q.arrivingWork[priority]
	if !ok {
		r = &rate{}
		q.arrivingWork[priority] = r
	}
	r.add(now, service.Seconds())
}

// updateMeanService adds a sample to the mean service time over the mix of calls that
// arrive.
func (q *Queue) updateMeanService(service time.Duration) {
	if q.meanService == 0 {
		q.meanService = service
	}
	q.meanService += time.Duration(smoothing / 2 * float64(service-q.meanService))
}

// Load returns the arrival rate of calls and the rate at which the upstream can serve
// them, both per second. The latter is limited while the upstream is cold.
func (q *Queue) Load(now time.Time) (offered, capacity float64) {
	if q.meanService > 0 {
		capacity = float64(q.slots) / q.meanService.Seconds()
	}
	if q.warmup.active(now) {
		capacity = min(capacity, float64(q.warmup.limit)/warmupWindow.Seconds())
	}
	return q.offered.value(now), capacity
}

// rate measures events per second over windows of rateWindow.
type rate struct {
	windowStart time.Time
	count       float64
	lastRate    float64
	// hasFullWindow is set once the first window has ended.
	hasFullWindow bool
}

func (r *rate) add(now time.Time, n float64) {
	r.roll(now)
	r.count += n
}

// roll closes the present window once rateWindow has passed, and starts the next one.
func (r *rate) roll(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	passed := now.Sub(r.windowStart)
	if passed < rateWindow {
		return
	}
	r.lastRate = r.count / passed.Seconds()
	r.count, r.windowStart, r.hasFullWindow = 0, now, true
}

// value returns the rate as a mean of the last window and the present one, weighted by
// how much of the present one has passed.
func (r *rate) value(now time.Time) float64 {
	r.roll(now)
	passed := now.Sub(r.windowStart).Seconds() / rateWindow.Seconds()
	if !r.hasFullWindow {
		return r.count / rateWindow.Seconds() / max(passed, minWindowPart)
	}
	return r.lastRate*(1-passed) + r.count/rateWindow.Seconds()
}

// minWindowPart is the smallest fraction of the first window by which its count is
// divided. It keeps the first few events from being extrapolated to a high rate.
const minWindowPart = 0.3
