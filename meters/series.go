package meters

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// writeSample writes one sample line of the Prometheus text format.
func writeSample(w *bytes.Buffer, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s %s\n", name, labels, formatValue(value))
}

// formatValue formats a sample value or bucket bound. math.MaxFloat64, which tally
// uses as the bound of the last bucket, is written as +Inf.
func formatValue(value float64) string {
	if math.IsInf(value, 1) || value == math.MaxFloat64 {
		return "+Inf"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// counter holds the sum of the reported increments.
type counter struct{ value atomic.Int64 }

// ReportCount implements tally.CachedCount.
func (c *counter) ReportCount(value int64) { c.value.Add(value) }

func (c *counter) write(w *bytes.Buffer, name, labels string) {
	writeSample(w, name, labels, float64(c.value.Load()))
}

// gauge holds the last reported value as IEEE 754 bits.
type gauge struct{ bits atomic.Uint64 }

// ReportGauge implements tally.CachedGauge.
func (g *gauge) ReportGauge(value float64) { g.bits.Store(math.Float64bits(value)) }

func (g *gauge) write(w *bytes.Buffer, name, labels string) {
	writeSample(w, name, labels, math.Float64frombits(g.bits.Load()))
}

// timer holds the number of reported durations and their sum in nanoseconds. It is
// rendered as a summary in seconds.
type timer struct{ count, nanos atomic.Int64 }

// ReportTimer implements tally.CachedTimer.
func (t *timer) ReportTimer(interval time.Duration) {
	t.count.Add(1)
	t.nanos.Add(int64(interval))
}

func (t *timer) write(w *bytes.Buffer, name, labels string) {
	writeSample(w, name+"_count", labels, float64(t.count.Load()))
	writeSample(w, name+"_sum", labels, time.Duration(t.nanos.Load()).Seconds())
}

// histogram holds the buckets, sorted by upper bound. Bounds of durations are in
// seconds.
type histogram struct {
	mu      sync.Mutex
	buckets []*bucket
}

// bucket counts the samples that are greater than lower and at most upper.
type bucket struct {
	lower, upper float64
	count        atomic.Int64
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(value int64) { b.count.Add(value) }

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(lower, upper float64) tally.CachedHistogramBucket {
	return h.bucket(lower, upper)
}

// DurationBucket implements tally.CachedHistogram.
func (h *histogram) DurationBucket(lower, upper time.Duration) tally.CachedHistogramBucket {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.MaxFloat64
	}
	return h.bucket(lower.Seconds(), bound)
}

// bucket returns the bucket with the given upper bound and adds it if it is new.
func (h *histogram) bucket(lower, upper float64) *bucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.buckets {
		if b.upper == upper {
			return b
		}
	}
	b := &bucket{lower: lower, upper: upper}
	h.buckets = append(h.buckets, b)
	slices.SortFunc(h.buckets, func(a, b *bucket) int {
		if a.upper < b.upper {
			return -1
		}
		return 1
	})
	return b
}

// write renders the cumulative bucket counts, the estimated sum and the count.
func (h *histogram) write(w *bytes.Buffer, name, labels string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var total int64
	var sum float64
	prefix := labels
	if prefix != "" {
		prefix += ","
	}
	for _, b := range h.buckets {
		n := b.count.Load()
		total += n
		sum += float64(n) * b.midpoint()
		bound := `le="` + formatValue(b.upper) + `"`
		writeSample(w, name+"_bucket", prefix+bound, float64(total))
	}
	writeSample(w, name+"_sum", labels, sum)
	writeSample(w, name+"_count", labels, float64(total))
}

// midpoint returns the value that each sample of the bucket contributes to the
// histogram's sum, which is therefore an estimate. It is the lower bound if the upper
// one is infinite, and the upper bound if the lower one is negative or infinite.
func (b *bucket) midpoint() float64 {
	switch {
	case b.upper == math.MaxFloat64:
		return b.lower
	case b.lower <= -math.MaxFloat64 || b.lower < 0:
		return b.upper
	}
	return (b.lower + b.upper) / 2
}
