package meters_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/monsoonmoor/monsoonmoor/meters"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closeAndRender closes the registry, so that all values are reported, and returns the
// rendered metrics.
func closeAndRender(c *qt.C, r *meters.Registry) string {
	c.Assert(r.Close(), qt.IsNil)
	var b strings.Builder
	c.Assert(r.WriteText(&b), qt.IsNil)
	return b.String()
}

func TestWriteText(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(s tally.Scope)
		want   string
	}{{
		name: "counter",
		report: func(s tally.Scope) {
			s.Counter("calls").Inc(2)
			s.Counter("calls").Inc(3)
		},
		want: "# TYPE moor_calls counter\nmoor_calls 5\n",
	}, {
		name:   "gauge with labels",
		report: func(s tally.Scope) { s.Tagged(map[string]string{"b": "2", "a": "x\"y\n"}).Gauge("load").Update(1.5) },
		want:   "# TYPE moor_load gauge\nmoor_load{a=\"x\\\"y\\n\",b=\"2\"} 1.5\n",
	}, {
		name: "timer",
		report: func(s tally.Scope) {
			s.Timer("wait").Record(250 * time.Millisecond)
			s.Timer("wait").Record(time.Second)
		},
		want: "# TYPE moor_wait summary\nmoor_wait_count 2\nmoor_wait_sum 1.25\n",
	}, {
		name: "histogram of durations",
		report: func(s tally.Scope) {
			h := s.Histogram("took", tally.DurationBuckets{time.Second, 2 * time.Second})
			h.RecordDuration(1500 * time.Millisecond)
			h.RecordDuration(time.Minute)
		},
		want: "# TYPE moor_took histogram\nmoor_took_bucket{le=\"1\"} 0\nmoor_took_bucket{le=\"2\"} 1\nmoor_took_bucket{le=\"+Inf\"} 2\n" +
			"moor_took_sum 3.5\nmoor_took_count 2\n",
	}, {
		name:   "name with other characters",
		report: func(s tally.Scope) { s.SubScope("a.b").Counter("c-d é").Inc(1) },
		want:   "# TYPE moor_a_b_c_d__ counter\nmoor_a_b_c_d__ 1\n",
	}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := meters.New(meters.WithPrefix("moor"), meters.WithInterval(0))
			test.report(r.Scope())
			c.Assert(closeAndRender(c, r), qt.Equals, test.want+"# TYPE meters_refused counter\nmeters_refused 0\n")
		})
	}
}

func TestSeriesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := meters.New(meters.WithMaxSeries(3), meters.WithInterval(0))
	for _, host := range []string{"a", "b", "c", "d", "e"} {
		r.Scope().Tagged(map[string]string{"host": host}).Counter("calls").Inc(1)
	}
	got := closeAndRender(c, r)
	c.Assert(strings.Count(got, "calls{"), qt.Equals, 3)
	c.Assert(got, qt.Contains, "meters_refused 2\n")
}

func TestNameOfAnotherTypeIsRefused(t *testing.T) {
	c := qt.New(t)
	r := meters.New(meters.WithInterval(0))
	r.Scope().Counter("x").Inc(1)
	r.Scope().Gauge("x").Update(9)
	c.Assert(closeAndRender(c, r), qt.Equals, "# TYPE x counter\nx 1\n# TYPE meters_refused counter\nmeters_refused 1\n")
}
