package course

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// maxLine is the longest line that is read, in bytes; a daemon writes less.
	maxLine = 1 << 20
	// maxSteps is the number of steps that one course has at the most: a log with a
	// clock that is wrong by years must not take all memory.
	maxSteps = 100_000
	// maxTrace is the number of lines about one request that are kept.
	maxTrace = 10_000
)

// Course is the course of a day. It is not safe for concurrent use.
type Course struct {
	every   time.Duration
	request string

	steps  map[int64]*Step
	trace  []Line
	lines  int
	others int
	beyond int
}

// Option changes a Course.
type Option func(*Course)

// WithRequest keeps the lines about one request.
func WithRequest(id string) Option { return func(c *Course) { c.request = id } }

// New returns a course in steps of time.
func New(every time.Duration, opts ...Option) *Course {
	c := &Course{every: every, steps: make(map[int64]*Step)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Read takes a log in. Lines that name no process are those of the given one.
// Its error is that of the reader, or of a line beyond all measure.
func (c *Course) Read(r io.Reader, process string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := Parse(scanner.Text(), process)
		if !ok {
			c.others++
			continue
		}
		c.add(l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", process, err)
	}
	return nil
}

func (c *Course) add(l Line) {
	c.lines++
	if c.request != "" && l.isAbout(c.request) && len(c.trace) < maxTrace {
		c.trace = append(c.trace, l)
	}
	start := l.at.Truncate(c.every)
	step := c.steps[start.UnixNano()]
	if step == nil {
		if len(c.steps) >= maxSteps {
			c.beyond++
			return
		}
		step = newStep(start)
		c.steps[start.UnixNano()] = step
	}
	step.add(l)
}

// Lines returns how many log lines were read.
func (c *Course) Lines() int { return c.lines }

// Trace returns the lines about the request, in order of time.
func (c *Course) Trace() []Line {
	slices.SortStableFunc(c.trace, func(a, b Line) int { return a.at.Compare(b.at) })
	return c.trace
}

// Steps returns the steps in which something was logged, in order of time.
func (c *Course) Steps() []*Step {
	all := make([]*Step, 0, len(c.steps))
	for _, s := range c.steps {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Step) int { return cmp.Compare(a.start.UnixNano(), b.start.UnixNano()) })
	return all
}

// WriteText writes the lines about the request, or the course as a table.
func (c *Course) WriteText(w io.Writer) error {
	if c.request != "" {
		return c.writeTrace(w)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "time\tanswered\trefused\tunknown\tp50\tp99\tmoved\twrites\traces\twhat happened")
	for _, s := range c.Steps() {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%s\n", s.start.UTC().Format("15:04:05"), s.answered, s.refused, s.unknown,
			s.quantile(50).Round(time.Millisecond/10), s.quantile(99).Round(time.Millisecond/10), s.moved, s.writes, s.lost, s.names())
	}
	if err == nil {
		_, err = fmt.Fprintf(table, "%d log lines, %d others\n", c.lines, c.others)
	}
	if err == nil && c.beyond > 0 {
		_, err = fmt.Fprintf(table, "%d lines left out: more than %d steps\n", c.beyond, maxSteps)
	}
	if err == nil {
		err = table.Flush()
	}
	if err != nil {
		return fmt.Errorf("write course: %w", err)
	}
	return nil
}

func (c *Course) writeTrace(w io.Writer) error {
	trace := c.Trace()
	if len(trace) == 0 {
		if _, err := fmt.Fprintf(w, "request %s: not in %d log lines\n", c.request, c.lines); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	for _, l := range trace {
		if _, err := fmt.Fprintf(w, "%s %s\n", l.process, l.text); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// stepOut is a step as JSON; times in milliseconds.
type stepOut struct {
	Start    time.Time      `json:"start"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Unknown  int            `json:"unknown"`
	P50      float64        `json:"p50"`
	P99      float64        `json:"p99"`
	Moved    int            `json:"moved"`
	Writes   int            `json:"writes"`
	Races    int            `json:"races"`
	Events   map[string]int `json:"events"`
}

// lineOut is a line as JSON.
type lineOut struct {
	Process string            `json:"process"`
	Pairs   map[string]string `json:"pairs"`
}

// WriteJSON writes the same as WriteText.
func (c *Course) WriteJSON(w io.Writer) error {
	out := struct {
		Lines  int       `json:"lines"`
		Others int       `json:"others"`
		Steps  []stepOut `json:"steps,omitempty"`
		Trace  []lineOut `json:"trace,omitempty"`
	}{Lines: c.lines, Others: c.others}
	for _, l := range c.Trace() {
		out.Trace = append(out.Trace, lineOut{Process: l.process, Pairs: l.pairs})
	}
	if c.request == "" {
		for _, s := range c.Steps() {
			out.Steps = append(out.Steps, stepOut{
				Start: s.start, Answered: s.answered, Refused: s.refused, Unknown: s.unknown,
				P50: s.quantile(50).Seconds() * 1000, P99: s.quantile(99).Seconds() * 1000,
				Moved: s.moved, Writes: s.writes, Races: s.lost, Events: s.events,
			})
		}
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		return fmt.Errorf("write course: %w", err)
	}
	return nil
}
