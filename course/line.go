package course

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a daemon's log.
type Line struct {
	at      time.Time
	process string
	text    string
	pairs   map[string]string
}

// Parse reads a line. It reports false for one that is no log line. The process
// is the one that the line itself names, before the time or as host.
func Parse(text, process string) (Line, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return Line{}, false
	}
	l := Line{process: process, text: text[begin:], pairs: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(l.text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		l.pairs[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.pairs["time"])
	if decoder.Err() != nil || err != nil || l.pairs["msg"] == "" {
		return Line{}, false
	}
	l.at = at
	if before := strings.Fields(text[:begin]); len(before) > 0 {
		l.process = before[len(before)-1]
	} else if host := l.pairs["host"]; host != "" {
		l.process = host
	}
	return l, true
}

// At returns the time of day of the daemon that wrote the line.
func (l Line) At() time.Time { return l.at }

// Process returns who wrote the line.
func (l Line) Process() string { return l.process }

// Text returns the line from its time on.
func (l Line) Text() string { return l.text }

// Value returns the value of a key; empty when there is none.
func (l Line) Value(key string) string { return l.pairs[key] }

// count returns a number of the line, zero when it has none.
func (l Line) count(key string) int {
	n, err := strconv.Atoi(l.pairs[key])
	if err != nil {
		return 0
	}
	return n
}

// isAbout reports whether the line is about a request: one that was sent for
// another one has the ids of both, with a dot between.
func (l Line) isAbout(request string) bool {
	for part := range strings.SplitSeq(l.pairs["request"], ".") {
		if part == request {
			return true
		}
	}
	return l.pairs["request"] == request
}
