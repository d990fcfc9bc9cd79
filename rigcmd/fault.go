package rigcmd

import (
	"errors"
	"fmt"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/fault"
)

// faultCmd runs the fault-injecting forwarder.
type faultCmd struct {
	Links   []string `arg:"" optional:"" help:"Links as name=network:listen>target, such as log=tcp:127.0.0.1:0>127.0.0.1:7000."`
	Control string   `help:"Address for orders: GET /links, POST /links, /links/NAME, /links/NAME/cut, /links/NAME/forget." default:"127.0.0.1:0"`
}

// errLink means that a link on the command line is wrong.
var errLink = errors.New("want name=network:listen>target")

// Run implements the command.
func (c *faultCmd) Run(e *env) error {
	f := fault.New(fault.WithClock(e.clock), fault.WithLogger(e.log))
	defer func() { _ = f.Close() }()
	for _, text := range c.Links {
		l, err := parseLink(text)
		if err != nil {
			return err
		}
		addr, err := f.Add(l)
		if err != nil {
			return fmt.Errorf("open link: %w", err)
		}
		if err := e.printURL(l.Name, addr); err != nil {
			return err
		}
	}
	return e.serve("control", c.Control, f.Control())
}

func parseLink(text string) (fault.Link, error) {
	name, rest, ok := strings.Cut(text, "=")
	network, rest, ok2 := strings.Cut(rest, ":")
	listen, target, ok3 := strings.Cut(rest, ">")
	if !ok || !ok2 || !ok3 || name == "" {
		return fault.Link{}, fmt.Errorf("link %q: %w", text, errLink)
	}
	return fault.Link{Name: name, Network: network, Listen: listen, Target: target}, nil
}
