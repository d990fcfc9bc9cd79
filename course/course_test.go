package course_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/course"
)

const day = `time=2026-12-04T10:00:00.100000Z level=info msg=started host=dallas-1 settings=/etc/a
time=2026-12-04T10:00:00.200000Z level=info msg=request request=aa status=200 took=40ms via=[dallas-2]
time=2026-12-04T10:00:00.300000Z level=info msg=request request=bb.cc status=503 took=2ms outcome=not-run reason=moving err="not-run: moving"
not a log line
time=2026-12-04T10:00:02.900000Z level=info msg=request request=cc.bb status=502 took=900ms outcome=unknown reason=peer-lost
`

const other = `   1.0 dallas-2 time=2026-12-04T10:00:00.250000Z level=info msg="turned away" request=bb.cc busy=8
   1.1 dallas-2 time=2026-12-04T10:00:00.400000Z level=info msg="handing over" host=dallas-2 owner=dallas-1~1 count=3
   1.2 dallas-2 time=2026-12-04T10:00:00.500000Z level=info msg="ownership table written" version=8 outcome=written
   1.3 dallas-2 time=2026-12-04T10:00:00.600000Z level=info msg="ownership table written" version=9 outcome="lost the race"
   1.4 dallas-2 time=2026-12-04T10:00:00.700000Z level=info msg="store lost" topic=a
   1.5 dallas-2 time=2026-12-04T10:00:00.800000Z level=info msg="store lost" topic=b
`

func read(c *qt.C, opts ...course.Option) *course.Course {
	out := course.New(time.Second, opts...)
	c.Assert(out.Read(strings.NewReader(other), "file"), qt.IsNil)
	c.Assert(out.Read(strings.NewReader(day), "dallas-1"), qt.IsNil)
	return out
}

func TestCourse(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	c.Assert(read(c).WriteText(&b), qt.IsNil)
	c.Assert(b.String(), qt.Equals, `time      answered  refused  unknown  p50      p99      moved  writes  races  what happened
10:00:00  1         1        0        2ms      40.2ms   3      1       1      store lost x2, started
10:00:02  0         0        1        901.1ms  901.1ms  0      0       0      
10 log lines, 1 others
`)
}

func TestCourseOfDaemonsWithALog(t *testing.T) {
	c := qt.New(t)
	out := course.New(time.Second)
	c.Assert(out.Read(strings.NewReader(`time=2026-12-04T10:00:00.1Z level=info msg=lapse clock=18ee host=dallas-1
time=2026-12-04T10:00:00.2Z level=info msg=takeover clock=18ee host=dallas-5 service=rounds-desk slots=1-4069 count=194
time=2026-12-04T10:00:00.3Z level=info msg=move clock=18ee host=dallas-5 service=rounds-desk slots=1-7 count=4 member=dallas-1~2
time=2026-12-04T10:00:00.4Z level=info msg=peer clock=18ee host=dallas-5
`), "file"), qt.IsNil)
	var b strings.Builder
	c.Assert(out.WriteText(&b), qt.IsNil)
	c.Assert(b.String(), qt.Contains, "  4      0       0      lapse, takeover\n")
}

func TestTrace(t *testing.T) {
	tests := []struct {
		request string
		want    []string
	}{
		{"aa", []string{"dallas-1 request"}},
		{"bb", []string{"dallas-2 turned away", "dallas-1 request", "dallas-1 request"}},
		{"bb.cc", []string{"dallas-2 turned away", "dallas-1 request"}},
		{"b", nil},
	}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			c := qt.New(t)
			var got []string
			for _, l := range read(c, course.WithRequest(tt.request)).Trace() {
				got = append(got, l.Process()+" "+l.Value("msg"))
			}
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
}

func TestTraceOfNothingSaysSo(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	c.Assert(read(c, course.WithRequest("none")).WriteText(&b), qt.IsNil)
	c.Assert(b.String(), qt.Equals, "request none: not in 10 log lines\n")
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text, process string
		ok                  bool
	}{
		{"named by its host", `time=2026-12-04T10:00:00Z msg=started host=a`, "a", true},
		{"named before the time", `0.1 b time=2026-12-04T10:00:00Z msg=started host=a`, "b", true},
		{"named by the file", `time=2026-12-04T10:00:00Z msg=started`, "file", true},
		{"no time", `msg=started host=a`, "", false},
		{"bad time", `time=yesterday msg=started`, "", false},
		{"no message", `time=2026-12-04T10:00:00Z host=a`, "", false},
		{"quote that does not end", `time=2026-12-04T10:00:00Z msg="started`, "", false},
		{"empty", ``, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l, ok := course.Parse(tt.text, "file")
			c.Assert(ok, qt.Equals, tt.ok)
			c.Assert(l.Process(), qt.Equals, tt.process)
		})
	}
}

func TestWriteJSON(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(read(c).WriteJSON(&b), qt.IsNil)
	var got struct {
		Lines int
		Steps []struct {
			Answered, Refused, Unknown, Moved, Writes, Races int
			Events                                           map[string]int
		}
	}
	c.Assert(json.Unmarshal(b.Bytes(), &got), qt.IsNil)
	c.Assert(got.Lines, qt.Equals, 10)
	c.Assert(got.Steps, qt.HasLen, 2)
	c.Assert(got.Steps[0].Moved, qt.Equals, 3)
	c.Assert(got.Steps[0].Events, qt.DeepEquals, map[string]int{"store lost": 2, "started": 1})
}

func TestPicture(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(read(c).WritePicture(&b, "svg"), qt.IsNil)
	c.Assert(b.String(), qt.Contains, "<svg")
	c.Assert(b.String(), qt.Contains, "store lost")
	c.Assert(course.New(time.Second).WritePicture(&b, "svg"), qt.ErrorMatches, "draw course: no log lines")
}
