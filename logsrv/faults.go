package logsrv

import (
	"flag"
	"fmt"
	"io"
	"net/url"
	"time"
)

// Outage says how an outage looks to clients.
type Outage string

// Kinds of outage.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers 503 to every request.
	OutageRefuse Outage = "refuse"
	// OutageReset closes connections without an answer and without effect.
	OutageReset Outage = "reset"
	// OutageHang never answers, without effect.
	OutageHang Outage = "hang"
)

// Faults are what the server does wrong on order.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay is added before each request takes effect. A client that gave up
	// meanwhile does not stop it.
	Delay time.Duration `json:"delay"`
	// LoseEvery loses the answer of every n-th append after it took effect;
	// zero loses none.
	LoseEvery int `json:"lose"`
}

// Set implements flag.Value.
func (o *Outage) Set(s string) error {
	switch v := Outage(s); v {
	case OutageNone, OutageRefuse, OutageReset, OutageHang:
		*o = v
		return nil
	}
	return fmt.Errorf("outage %q: want refuse, reset, hang or nothing", s)
}

// String returns the form that Set takes.
func (o *Outage) String() string { return string(*o) }

// applyValues changes the named faults and limits and leaves the others.
func applyValues(values url.Values, f *Faults, l *Limits) error {
	fs := flag.NewFlagSet("control", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Var(&f.Outage, "outage", "")
	fs.DurationVar(&f.Delay, "delay", f.Delay, "")
	fs.IntVar(&f.LoseEvery, "lose", f.LoseEvery, "")
	fs.Float64Var(&l.Rate, "rate", l.Rate, "")
	fs.DurationVar(&l.Age, "age", l.Age, "")
	fs.IntVar(&l.Count, "count", l.Count, "")
	fs.IntVar(&l.Bytes, "bytes", l.Bytes, "")
	for name := range values {
		if err := fs.Set(name, values.Get(name)); err != nil {
			return fmt.Errorf("set %s: %w", name, err)
		}
	}
	return nil
}
