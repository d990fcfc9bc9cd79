package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/monsoonmoor/monsoonmoor/demo"
	"github.com/monsoonmoor/monsoonmoor/klog"
)

// demoCmd runs a fleet with stand-ins in one process.
type demoCmd struct {
	Load    time.Duration `help:"Length of the load." default:"10s"`
	Loss    time.Duration `help:"When a host of each divided service is lost; 0 for never." default:"4s"`
	Seed    uint64        `help:"Seed of the load." default:"1"`
	Keep    bool          `help:"Leave the fleet up after the summary, until interrupted."`
	Report  string        `help:"Directory for a report that compares moves by load with static placement, in place of the summary." type:"path"`
	Shapes  []string      `help:"Loads of the report (steady, heavy key, rush, gathering, 23 hot keys); all when empty."`
	Verbose bool          `help:"Log every event to stderr."`
}

// Run implements the command.
func (c *demoCmd) Run(env *Env) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var opts []demo.Option
	if c.Verbose {
		opts = append(opts, demo.WithLogger(klog.New(env.stderr)))
	}
	if c.Report != "" {
		return c.report(ctx, env, opts)
	}
	plan := demo.Plan{Load: c.Load, Loss: c.Loss, Seed: c.Seed}
	if err := demo.Main(ctx, plan, c.Keep, env.json, env.stdout, opts...); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

// report runs the experiment and saves its report.
func (c *demoCmd) report(ctx context.Context, env *Env, opts []demo.Option) error {
	r, err := demo.Experiment{Load: c.Load, Seed: c.Seed, Shapes: c.Shapes}.Run(ctx, opts...)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := r.Save(c.Report); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	write := r.WriteText
	if env.json {
		write = r.WriteJSON
	}
	if err := write(env.stdout); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}
