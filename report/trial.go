package report

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/load"
)

const (
	// window is the number of seconds over which load is averaged.
	window = 3
	// tolerance is the imbalance, as a multiple of the least possible one, up
	// to which load counts as balanced. Moves stop at a hysteresis of 0.2.
	tolerance = 1.25
	// lastPart is the share of a trial that its final imbalance is taken of.
	lastPart = 1.0 / 3
)

// Placement says how slots are placed in a trial.
type Placement string

// Placements.
const (
	// Moved lets members move slots and pin keys by load.
	Moved Placement = "moved"
	// Static leaves slots where rendezvous hashing places them.
	Static Placement = "static"
)

// Trial is one load on one service.
type Trial struct {
	Service   string    `json:"service"`
	Shape     string    `json:"shape"`
	Placement Placement `json:"placement"`
	Upstreams int       `json:"upstreams"`
	// Result is what the load generator saw.
	Result *load.Result `json:"result"`
	// Samples are looks at the table, in order of time.
	Samples []Sample `json:"samples"`
	// Least is, for each second, the imbalance that the hottest key alone
	// causes wherever it is; one when it takes less than the mean.
	Least []float64 `json:"least"`
	// Others is the latency of the keys that are not hot.
	Others load.Percentiles `json:"others"`
	// Failed is the number of attempts on any key that were not answered, and
	// Outages sums up the times for which keys were not served.
	Failed  int              `json:"failed"`
	Outages load.Percentiles `json:"outages"`
}

// Sample is one look at the table.
type Sample struct {
	// At is in seconds from the start of the load.
	At float64 `json:"at"`
	// Moved is the number of slots that changed owners so far.
	Moved int `json:"moved"`
	// Pins is the number of keys with slots of their own.
	Pins int `json:"pins"`
}

// Imbalance returns the maximum over the mean of load for each second,
// averaged over the last seconds. Members that answered nothing count, too.
func (t *Trial) Imbalance() []float64 {
	seconds := t.seconds()
	course := make([]float64, len(seconds))
	for i := range seconds {
		sums := make(map[string]int)
		for _, s := range seconds[max(0, i+1-window) : i+1] {
			for owner, n := range s.Owners {
				sums[owner] += n
			}
		}
		most, total := 0, 0
		for _, n := range sums {
			most, total = max(most, n), total+n
		}
		if total > 0 {
			course[i] = float64(most) * float64(max(t.Upstreams, len(sums))) / float64(total)
		}
	}
	return course
}

// seconds returns the course of the load without its last, partial second.
func (t *Trial) seconds() []load.Second {
	if t.Result == nil || len(t.Result.PerSecond) == 0 {
		return nil
	}
	return t.Result.PerSecond[:max(1, len(t.Result.PerSecond)-1)]
}

// least returns the least imbalance at a second, averaged as load is.
func (t *Trial) least(second int) float64 {
	sum, n := 0.0, 0
	for i := max(0, second+1-window); i <= second && i < len(t.Least); i++ {
		sum, n = sum+t.Least[i], n+1
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Final returns the mean imbalance at the end of the trial and the least that
// was possible.
func (t *Trial) Final() (actual, least float64) {
	course := t.Imbalance()
	first := int(float64(len(course)) * (1 - lastPart))
	n := float64(len(course) - first)
	if n == 0 {
		return 0, 0
	}
	for i := first; i < len(course); i++ {
		actual += course[i] / n
		least += t.least(i) / n
	}
	return actual, least
}

// Highest returns the highest imbalance as a multiple of the least possible.
func (t *Trial) Highest() float64 {
	highest := 0.0
	for i, v := range t.Imbalance() {
		highest = max(highest, v/t.least(i))
	}
	return highest
}

// Unbalanced returns the number of seconds in which load was not balanced, and
// the longest run of such seconds.
func (t *Trial) Unbalanced() (all, longest int) {
	run := 0
	for i, v := range t.Imbalance() {
		if v <= tolerance*t.least(i) {
			run = 0
			continue
		}
		run++
		all++
		longest = max(longest, run)
	}
	return all, longest
}

// Last returns the newest sample.
func (t *Trial) Last() Sample {
	if len(t.Samples) == 0 {
		return Sample{}
	}
	return slices.MaxFunc(t.Samples, func(a, b Sample) int {
		if a.At < b.At {
			return -1
		}
		return 1
	})
}
