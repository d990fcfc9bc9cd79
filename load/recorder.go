package load

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// The histograms' unit, range in units and precision.
const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(10 * time.Minute / histogramUnit)
	histogramDigits = 3
	// maxSeconds bounds the course of the run that is kept.
	maxSeconds = 3600
)

// recorder gathers what came of calls and attempts. It is safe for concurrent
// use.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	result  Result
	latency map[string]*hdrhistogram.Histogram
	lag     *hdrhistogram.Histogram
	answers *hdrhistogram.Histogram
	outages map[string]*outage
	history *json.Encoder
	err     error
}

// outage follows one key that had an attempt without an answer.
type outage struct {
	since  time.Time
	reason string
	open   bool
}

func newRecorder(start time.Time, history io.Writer) *recorder {
	r := &recorder{
		start: start,
		result: Result{
			Calls:    make(map[string]int),
			Attempts: make(map[string]int),
			Reasons:  make(map[string]int),
			Owners:   make(map[string]int),
			Latency:  make(map[string]Percentiles),
		},
		latency: make(map[string]*hdrhistogram.Histogram),
		lag:     newHistogram(),
		answers: newHistogram(),
		outages: make(map[string]*outage),
	}
	if history != nil {
		r.history = json.NewEncoder(history)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A clamped value is always in range.
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), histogramMax))
}

// offered counts an arrival and how late the generator was with it.
func (r *recorder) offered(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Offered++
	record(r.lag, lag)
}

// attempt records one request. Failing and answered attempts of a key bound
// the time for which it was unavailable.
func (r *recorder) attempt(a verify.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.history != nil && r.err == nil {
		r.err = r.history.Encode(a)
	}
	r.result.Attempts[a.Outcome]++
	if a.Fault != "" {
		r.result.Faults++
	}
	if a.Replayed {
		r.result.Replayed++
	}
	if a.Outcome == calls.Answered.String() {
		r.served(a)
		return
	}
	r.result.Reasons[a.Reason]++
	o := r.outages[a.Key]
	if o == nil {
		o = &outage{}
		r.outages[a.Key] = o
	}
	if start := time.Unix(0, a.Start); !o.open || start.Before(o.since) {
		o.open, o.since, o.reason = true, start, a.Reason
	}
}

func (r *recorder) served(a verify.Attempt) {
	o := r.outages[a.Key]
	end := time.Unix(0, a.End)
	if o == nil || !o.open || !end.After(o.since) {
		return
	}
	o.open = false
	r.longest(a.Key, o, end)
}

func (r *recorder) longest(key string, o *outage, end time.Time) {
	ms := float64(end.Sub(o.since)) / float64(time.Millisecond)
	if ms <= r.result.Unavailable.Millis {
		return
	}
	r.result.Unavailable = Unavailable{
		Key:     key,
		Millis:  ms,
		Reason:  o.reason,
		AtStart: float64(o.since.Sub(r.start)) / float64(time.Millisecond),
		Open:    o.open,
	}
}

// ending is how a call ended.
type ending struct {
	kind kind
	at   time.Duration
	// took counts from the intended start, answer from the actual one.
	took, answer   time.Duration
	outcome, owner string
}

// call records how a call ended.
func (r *recorder) call(e ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Calls[e.outcome]++
	s := r.second(e.at)
	if e.outcome != calls.Answered.String() {
		s.Failed++
		record(r.histogram("failed"), e.took)
		return
	}
	s.Answered++
	if e.owner != "" {
		r.result.Owners[e.owner]++
		if s.Owners == nil {
			s.Owners = make(map[string]int)
		}
		s.Owners[e.owner]++
	}
	record(r.histogram(e.kind.String()), e.took)
	record(r.histogram("all"), e.took)
	record(r.answers, e.answer)
}

func (r *recorder) histogram(name string) *hdrhistogram.Histogram {
	h := r.latency[name]
	if h == nil {
		h = newHistogram()
		r.latency[name] = h
	}
	return h
}

func (r *recorder) second(at time.Duration) *Second {
	n := min(int(at/time.Second), maxSeconds-1)
	for len(r.result.PerSecond) <= n {
		r.result.PerSecond = append(r.result.PerSecond, Second{})
	}
	return &r.result.PerSecond[n]
}

// finish returns the result of a run that ended at end.
func (r *recorder) finish(end time.Time) (*Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &r.result
	for key, o := range r.outages {
		if o.open {
			r.longest(key, o, end)
		}
	}
	res.KeysAffected = len(r.outages)
	res.Seconds = end.Sub(r.start).Seconds()
	if res.Seconds > 0 {
		res.Goodput = float64(res.Calls[calls.Answered.String()]) / res.Seconds
	}
	for name, h := range r.latency {
		res.Latency[name] = newPercentiles(h)
	}
	res.Lag = newPercentiles(r.lag)
	res.Answers = newPercentiles(r.answers)
	res.Imbalance = imbalance(res.Owners)
	return res, r.err
}

// imbalance returns the most over the mean; 0 without any owner.
func imbalance(owners map[string]int) float64 {
	most, sum := 0, 0
	for _, n := range owners {
		most = max(most, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(owners)) / float64(sum)
}
