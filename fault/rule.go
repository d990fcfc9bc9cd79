package fault

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"time"
)

// Way names directions of a link.
type Way string

// Ways.
const (
	// None is no direction.
	None Way = ""
	// Forth is from the side that connects to the target.
	Forth Way = "forth"
	// Back is from the target to the side that connected.
	Back Way = "back"
	// Both is each direction.
	Both Way = "both"
)

// Set implements flag.Value.
func (w *Way) Set(s string) error {
	switch v := Way(s); v {
	case None, Forth, Back, Both:
		*w = v
		return nil
	}
	return fmt.Errorf("way %q: want forth, back, both or nothing", s)
}

// String returns the form that Set takes.
func (w *Way) String() string { return string(*w) }

// covers reports whether traffic in direction d is meant.
func (w Way) covers(d Way) bool {
	return w == Both || w != None && w == d
}

// Rule is what a link does to its traffic. The zero value does nothing.
type Rule struct {
	// Drop holds TCP traffic back, as lost segments that are sent again later
	// are, and loses UDP traffic in these directions. New TCP connections get
	// no answer.
	Drop Way `json:"drop,omitempty"`
	// Cut resets TCP connections, new ones too, and loses UDP traffic.
	Cut bool `json:"cut,omitempty"`
	// Delay is added in each direction.
	Delay time.Duration `json:"delay,omitempty"`
	// Loss is the share of UDP datagrams lost, 0 to 1, in the directions that
	// LossWay names (none: both).
	Loss    float64 `json:"loss,omitempty"`
	LossWay Way     `json:"loss_way,omitempty"`
}

// loses reports whether a datagram in direction d is lost.
func (r Rule) loses(d Way) bool {
	if r.Cut || r.Drop.covers(d) {
		return true
	}
	if r.Loss <= 0 || r.LossWay != None && !r.LossWay.covers(d) {
		return false
	}
	return rand.Float64() < r.Loss
}

// parseRule reads a rule from parameters; those that are missing are zero.
func parseRule(values url.Values) (Rule, error) {
	var r Rule
	fs := flag.NewFlagSet("rule", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Var(&r.Drop, "drop", "")
	fs.BoolVar(&r.Cut, "cut", false, "")
	fs.DurationVar(&r.Delay, "delay", 0, "")
	fs.Float64Var(&r.Loss, "loss", 0, "")
	fs.Var(&r.LossWay, "way", "")
	fs.String("from", "", "")
	for name := range values {
		if err := fs.Set(name, values.Get(name)); err != nil {
			return Rule{}, fmt.Errorf("set %s: %w", name, err)
		}
	}
	return r, nil
}
