package meters

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// refusedMetric is the name of the counter of series that were not registered: those
// above the limit and those whose name has another metric type already.
const refusedMetric = "meters_refused"

// reporter is a tally reporter that keeps the series in memory.
type reporter struct {
	mu       sync.Mutex
	limit    int
	count    int
	refused  uint64
	families map[string]*family
}

// family is the set of series with the same metric name, by their labels.
type family struct {
	metricType string
	series     map[string]series
}

// series is a metric with a fixed set of labels. Its write method renders it in the
// Prometheus text format.
type series interface {
	write(w *bytes.Buffer, name, labels string)
}

var _ tally.CachedStatsReporter = (*reporter)(nil)

func newReporter(limit int) *reporter {
	return &reporter{limit: limit, families: map[string]*family{}}
}

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.BaseStatsReporter.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return allocate(r, name, "counter", tags, func() *counter { return &counter{} })
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return allocate(r, name, "gauge", tags, func() *gauge { return &gauge{} })
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return allocate(r, name, "summary", tags, func() *timer { return &timer{} })
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return allocate(r, name, "histogram", tags, func() *histogram { return &histogram{} })
}

// allocate returns the series with the given name and tags and registers it if it is
// new. A series above the limit, or whose name is registered with another metric
// type, is counted as refused: it can be reported to but is not rendered.
func allocate[S series](r *reporter, name, metricType string, tags map[string]string, newSeries func() S) S {
	r.mu.Lock()
	defer r.mu.Unlock()
	labels := formatLabels(tags)
	f := r.families[name]
	if f != nil {
		if s, ok := f.series[labels].(S); ok && f.metricType == metricType {
			return s
		}
	}
	s := newSeries()
	if r.count >= r.limit || (f != nil && f.metricType != metricType) {
		r.refused++
		return s
	}
	if f == nil {
		f = &family{metricType: metricType, series: map[string]series{}}
		r.families[name] = f
	}
	f.series[labels] = s
	r.count++
	return s
}

// write renders all series, sorted by name and labels, and the counter of refused
// series.
func (r *reporter) write(w *bytes.Buffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(w, "# TYPE %s %s\n", name, f.metricType)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(w, name, labels)
		}
	}
	fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", refusedMetric, refusedMetric, r.refused)
}

// labelEscaper escapes a label value for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels renders tags as comma-separated label pairs without braces, sorted by
// label name.
func formatLabels(tags map[string]string) string {
	var b strings.Builder
	for i, key := range slices.Sorted(maps.Keys(tags)) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `%s="%s"`, key, labelEscaper.Replace(tags[key]))
	}
	return b.String()
}

// capabilities tells tally that the reporter supports reporting and tags.
type capabilities struct{}

// Reporting implements tally.Capabilities.
func (capabilities) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (capabilities) Tagging() bool { return true }
