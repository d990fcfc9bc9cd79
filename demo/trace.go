package demo

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/load"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

const (
	// hotShare is the share of all calls in a second from which a key is hot.
	hotShare = 0.02
	// maxTrace bounds the attempts that are kept.
	maxTrace = 2_000_000
	// traceDigits is the precision of the histograms, traceMax their range in
	// microseconds.
	traceDigits = 3
	traceMax    = int64(10 * time.Minute / time.Microsecond)
)

// trace keeps the attempts of a load, as a history that is written to it. It
// is safe for concurrent use.
type trace struct {
	mu       sync.Mutex
	attempts []tracedAttempt
}

type tracedAttempt struct {
	key                  string
	intended, start, end int64
	answered             bool
}

// Write takes one line of a history.
func (t *trace) Write(line []byte) (int, error) {
	var a verify.Attempt
	if err := json.Unmarshal(line, &a); err != nil {
		return 0, fmt.Errorf("read attempt: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.attempts) < maxTrace {
		t.attempts = append(t.attempts, tracedAttempt{
			key: a.Key, intended: a.Intended, start: a.Start, end: a.End,
			answered: a.Outcome == calls.Answered.String(),
		})
	}
	return len(line), nil
}

// traced is what a trace tells of a load.
type traced struct {
	least   []float64
	others  load.Percentiles
	outages load.Percentiles
	failed  int
}

// sum sums up the load that began at start on a number of upstreams.
func (t *trace) sum(start time.Time, upstreams int) traced {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, totals := t.count(start)
	sums := traced{least: make([]float64, len(totals))}
	for i, byKey := range counts {
		most := 0
		for _, n := range byKey {
			most = max(most, n)
		}
		sums.least[i] = max(1, float64(most*upstreams)/float64(max(1, totals[i])))
	}
	others, outages := newHistogram(), newHistogram()
	down := make(map[string]int64)
	for _, a := range t.attempts {
		i := second(start, a.intended)
		if !a.answered {
			sums.failed++
			if since, ok := down[a.key]; !ok || a.start < since {
				down[a.key] = a.start
			}
			continue
		}
		if since, ok := down[a.key]; ok && a.end > since {
			note(outages, a.end-since)
			delete(down, a.key)
		}
		if float64(counts[i][a.key]) < hotShare*float64(totals[i]) {
			note(others, a.end-a.intended)
		}
	}
	sums.others, sums.outages = percentiles(others), percentiles(outages)
	return sums
}

// count counts the answered calls of each second by key, and all of them.
func (t *trace) count(start time.Time) (byKey []map[string]int, totals []int) {
	for _, a := range t.attempts {
		i := second(start, a.intended)
		for len(byKey) <= i {
			byKey = append(byKey, make(map[string]int))
			totals = append(totals, 0)
		}
		if a.answered {
			byKey[i][a.key]++
			totals[i]++
		}
	}
	return byKey, totals
}

func second(start time.Time, at int64) int {
	return max(0, int((at-start.UnixNano())/int64(time.Second)))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, traceMax, traceDigits)
}

// note records nanoseconds.
func note(h *hdrhistogram.Histogram, ns int64) {
	// A clamped value is always in range.
	_ = h.RecordValue(min(max(ns/int64(time.Microsecond), 1), traceMax))
}

func percentiles(h *hdrhistogram.Histogram) load.Percentiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return load.Percentiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   ms(h.ValueAtPercentile(50)),
		P90:   ms(h.ValueAtPercentile(90)),
		P99:   ms(h.ValueAtPercentile(99)),
		P999:  ms(h.ValueAtPercentile(99.9)),
		Max:   ms(h.Max()),
	}
}
