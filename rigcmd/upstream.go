package rigcmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/upsim"
)

// upstreamCmd runs an upstream.
type upstreamCmd struct {
	Host    string        `help:"Name of the host." required:""`
	Service string        `help:"Service that the upstream belongs to." required:""`
	Daemon  string        `help:"Base URL of the upstream listener of the daemon beside it."`
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Control string        `help:"Address for orders (POST /control?service=5ms&shed=0.1..., GET /granted). Off when empty."`
	Slots   int           `help:"Requests that run at once." default:"20"`
	Conns   int           `help:"Connections that are taken." default:"100"`
	Checks  bool          `help:"Refuse requests outside the grants." default:"true" negatable:""`
	History string        `help:"File to append the history of executed requests to." type:"path"`
	Time    time.Duration `help:"Mean service time." default:"1ms"`
	Spread  bool          `help:"Spread service times exponentially."`
	Cold    time.Duration `help:"How long the upstream is slower after its start."`
	Factor  float64       `help:"How many times slower it is at first." default:"4"`
	Shed    float64       `help:"Share of requests refused at random."`
	Lag     time.Duration `help:"How old the health and load endpoints' state can be."`
	Lies    bool          `help:"Make the health and load endpoints claim an idle upstream."`
	Drain   time.Duration `help:"How long SIGTERM waits for the drain." default:"30s"`
}

// Run implements the command.
func (c *upstreamCmd) Run(e *env) error {
	history, err := openHistory(c.History)
	if err != nil {
		return err
	}
	defer func() { _ = history.Close() }()
	crashed := make(chan struct{})
	up, err := upsim.Listen(c.Listen, c.config(),
		upsim.WithClock(e.clock),
		upsim.WithLogger(e.log),
		upsim.WithHistory(history),
		upsim.WithCrash(func() { close(crashed) }),
	)
	if err != nil {
		return fmt.Errorf("start upstream: %w", err)
	}
	if err := e.printURL("upstream", up.URL()); err != nil {
		return errors.Join(err, up.Close())
	}
	if c.Control != "" {
		go func() {
			if err := e.serve("control", c.Control, up.Control()); err != nil {
				e.log.Error(err, "control")
			}
		}()
	}
	select {
	case <-crashed:
		return errCrash
	case <-e.ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Drain)
	defer cancel()
	if err := up.Drain(ctx); err != nil {
		return errors.Join(fmt.Errorf("drain: %w", err), up.Close())
	}
	return nil
}

func (c *upstreamCmd) config() upsim.Config {
	return upsim.Config{
		Host:    ident.Host(c.Host),
		Service: ident.Service(c.Service),
		Daemon:  c.Daemon,
		Slots:   c.Slots,
		Conns:   c.Conns,
		Checks:  c.Checks,
		Behaviour: upsim.Behaviour{
			Service:    c.Time,
			Spread:     c.Spread,
			ColdFor:    c.Cold,
			ColdFactor: c.Factor,
			Shed:       c.Shed,
			HealthLag:  c.Lag,
			HealthLies: c.Lies,
		},
	}
}
