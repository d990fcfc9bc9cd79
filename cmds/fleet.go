package cmds

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/monsoonmoor/monsoonmoor/klog"
	"github.com/monsoonmoor/monsoonmoor/platform"
	"github.com/monsoonmoor/monsoonmoor/steady"
)

// fleetCmd runs the daemon beside an upstream on the users' platform.
type fleetCmd struct {
	Settings string `help:"The platform's settings file." env:"MONSOONMOOR_NODE_FILE" required:"" placeholder:"FILE"`
	Verbose  int    `help:"Log level; 0 logs decisions, 1 every attempt." default:"0"`
}

const (
	// memoryShare is the part of the process's memory at which the collector
	// works harder.
	memoryShare = 0.6
	// gcPercent is how much the heap may grow between collections. Memory is
	// dearer than the time to collect it.
	gcPercent = 60
)

// Run implements the command. SIGTERM and SIGINT end the daemon without cutting
// requests.
func (c *fleetCmd) Run(env *Env) error {
	settings, err := platform.Load(c.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	debug.SetGCPercent(gcPercent)
	if limit := settings.MemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
	clock := steady.New()
	lines := klog.NewQueue(env.stdout, klog.DefaultQueue)
	log := klog.New(lines, klog.WithClock(clock), klog.WithLevel(c.Verbose))
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	daemon, err := platform.Open(settings, clock, log)
	if err != nil {
		return errors.Join(fmt.Errorf("start daemon: %w", err), lines.Close())
	}
	log.Info("started", "host", settings.Host(), "settings", c.Settings)
	for {
		select {
		case <-reload:
			log.Info("settings file changed", "settings", c.Settings)
		case s := <-ended:
			log.Info("signal", "signal", s.String())
			return errors.Join(daemon.Stop(), lines.Close())
		}
	}
}
