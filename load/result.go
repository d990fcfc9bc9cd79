package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a run. Times are in milliseconds.
type Result struct {
	// Offered is the number of arrivals, Calls how they ended by outcome.
	Offered int            `json:"offered"`
	Calls   map[string]int `json:"calls"`
	// Attempts counts single requests by outcome, Reasons those that were not
	// answered by reason.
	Attempts map[string]int `json:"attempts"`
	Reasons  map[string]int `json:"reasons"`
	Replayed int            `json:"replayed"`
	// Faults counts answers of another request and cut ones.
	Faults int `json:"faults"`
	// Seconds is how long the run took, Goodput the answered calls a second.
	Seconds float64 `json:"seconds"`
	Goodput float64 `json:"goodput"`
	// Latency is that of answered calls from their intended start, by kind;
	// "all" takes them together and "failed" are those that were not answered.
	Latency map[string]Percentiles `json:"latency"`
	// Lag is how late the generator itself started calls, and Answers the
	// latency of answered calls from that actual start. Answers omits what
	// waiting in the generator costs: it compares paths, not loads.
	Lag     Percentiles `json:"lag"`
	Answers Percentiles `json:"answers"`
	// Owners counts answered calls by host; Imbalance is the most over the mean.
	Owners    map[string]int `json:"owners"`
	Imbalance float64        `json:"imbalance"`
	// Unavailable is the longest time for which a key was not served.
	Unavailable Unavailable `json:"unavailable"`
	// KeysAffected is the number of keys with an attempt that was not answered.
	KeysAffected int `json:"keys_affected"`
	// PerSecond is the course of the run.
	PerSecond []Second `json:"per_second"`
}

// Percentiles sums up a distribution in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Unavailable is a time for which a key was not served: from the start of the
// first attempt that was not answered to the end of the next that was.
type Unavailable struct {
	Key     string  `json:"key"`
	Millis  float64 `json:"ms"`
	Reason  string  `json:"reason"`
	AtStart float64 `json:"at"`
	// Open reports that the key was not served again before the run ended.
	Open bool `json:"open"`
}

// Second is one second of a run, by the calls' intended start.
type Second struct {
	Answered int            `json:"answered"`
	Failed   int            `json:"failed"`
	Owners   map[string]int `json:"owners,omitempty"`
}

func newPercentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(v int64) float64 {
		return float64(v) * float64(histogramUnit) / float64(time.Millisecond)
	}
	return Percentiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() * float64(histogramUnit) / float64(time.Millisecond),
		P50:   ms(h.ValueAtPercentile(50)),
		P90:   ms(h.ValueAtPercentile(90)),
		P99:   ms(h.ValueAtPercentile(99)),
		P999:  ms(h.ValueAtPercentile(99.9)),
		Max:   ms(h.Max()),
	}
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// WriteText writes the result for a person.
func (r *Result) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.printf("offered %d in %.1f s, answered %.1f/s\n", r.Offered, r.Seconds, r.Goodput)
	p.printf("calls     %s\n", counts(r.Calls))
	p.printf("attempts  %s\n", counts(r.Attempts))
	if len(r.Reasons) > 0 {
		p.printf("reasons   %s\n", counts(r.Reasons))
	}
	p.printf("replayed  %d   faulty answers %d\n", r.Replayed, r.Faults)
	p.printf("\n%-11s %8s %9s %9s %9s %9s %9s\n", "latency ms", "count", "p50", "p90", "p99", "p99.9", "max")
	for _, name := range slices.Sorted(maps.Keys(r.Latency)) {
		p.percentiles(name, r.Latency[name])
	}
	p.percentiles("lag", r.Lag)
	p.percentiles("answers", r.Answers)
	p.printf("\nowners    %s\n", counts(r.Owners))
	p.printf("imbalance %.3f (most over mean)\n", r.Imbalance)
	p.unavailable(r)
	return p.err
}

// printer keeps the first error of several prints.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format, args...); err != nil {
		p.err = fmt.Errorf("write result: %w", err)
	}
}

func (p *printer) percentiles(name string, v Percentiles) {
	p.printf("%-11s %8d %9.3f %9.3f %9.3f %9.3f %9.3f\n", name, v.Count, v.P50, v.P90, v.P99, v.P999, v.Max)
}

func (p *printer) unavailable(r *Result) {
	if r.KeysAffected == 0 {
		p.printf("every key was served all the time\n")
		return
	}
	end := "then served again"
	if r.Unavailable.Open {
		end = "not served again"
	}
	p.printf("longest time unavailable %.0f ms (key %s, %s, %s); %d keys affected\n",
		r.Unavailable.Millis, r.Unavailable.Key, r.Unavailable.Reason, end, r.KeysAffected)
}

func counts(m map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s=%d ", name, m[name])
	}
	return text
}
