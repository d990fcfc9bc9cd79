package course

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latencies that are told apart, and the digits that count.
const (
	longest = 10 * time.Minute
	digits  = 2
)

// Step is what happened in one step of time.
type Step struct {
	start time.Time
	// answered, refused and unknown count requests by how they ended at the daemon
	// that the caller asked.
	answered, refused, unknown int
	took                       *hdrhistogram.Histogram
	// moved counts ranges or slots that were handed over, writes those of the
	// ownership table that took effect, lost those that others were faster with.
	moved, writes, lost int
	events              map[string]int
}

func newStep(start time.Time) *Step {
	return &Step{
		start: start, events: make(map[string]int),
		took: hdrhistogram.New(1, longest.Microseconds(), digits),
	}
}

// notable are the messages that a course names, first those of a fleet with a
// store, then those of daemons with a log. Others are counted, or left out.
var notable = []string{
	"started", "signal", "stopping", "stopped", "settings read", "settings not read",
	"store lost", "store regained", "configuration in force",
	"upstream announced", "upstream began", "upstream down", "upstream lost", "upstream leaves", "upstream crashed",
	"readiness for callers changed", "request quarantined", "member suspected", "taking over", "assigning keys without owner",
	"joining", "resuming ranges", "naming witnesses", "leaving", "move given up", "log lines dropped",

	"daemon started", "daemon ended", "log", "settings", "upstream", "upstream instance changed", "connection silent",
	"lease", "lapse", "restart", "claim", "vote", "fenced", "takeover", "leave", "evict", "drain", "void", "pin", "quarantine", "shed",
}

func (s *Step) add(l Line) {
	switch msg := l.Value("msg"); msg {
	case "request":
		s.addRequest(l)
	case "handing over", "move":
		s.moved += l.count("count")
	case "ownership table written":
		switch l.Value("outcome") {
		case "written":
			s.writes++
		case "lost the race":
			s.lost++
		}
	default:
		if slices.Contains(notable, msg) {
			s.events[msg]++
		}
	}
}

func (s *Step) addRequest(l Line) {
	switch l.Value("outcome") {
	case "":
		s.answered++
	case "not-run":
		s.refused++
	default:
		s.unknown++
	}
	took, err := time.ParseDuration(l.Value("took"))
	if err != nil || s.took.RecordValue(min(took, longest).Microseconds()) != nil {
		s.events["request without time"]++
	}
}

// quantile returns the time that a share of the requests took at most.
func (s *Step) quantile(percent float64) time.Duration {
	return time.Duration(s.took.ValueAtQuantile(percent)) * time.Microsecond
}

// names returns what happened, the most frequent first.
func (s *Step) names() string {
	all := slices.SortedFunc(maps.Keys(s.events), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.events[b], s.events[a]), cmp.Compare(a, b))
	})
	for i, name := range all {
		if n := s.events[name]; n > 1 {
			all[i] = fmt.Sprintf("%s x%d", name, n)
		}
	}
	return strings.Join(all, ", ")
}
