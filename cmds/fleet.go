package cmds

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonmoor/monsoonmoor/klog"
	"github.com/monsoonmoor/monsoonmoor/platform"
	"github.com/monsoonmoor/monsoonmoor/steady"
)

// fleetCmd runs the daemon beside an upstream on the users' platform.
type fleetCmd struct {
	Settings string `help:"The platform's settings file; otherwise the one that the platform's variable names." placeholder:"FILE"`
	Metrics  string `help:"Address for metrics." placeholder:"ADDRESS" default:":9464"`
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

// lookTime is the time between two looks at whether the settings file has changed:
// it may change without a signal.
const lookTime = time.Second

// Run implements the command. SIGTERM and SIGINT end the daemon without cutting
// requests.
func (c *fleetCmd) Run(env *Env) error {
	path, err := platform.SettingsPath(c.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	debug.SetGCPercent(gcPercent)
	if limit := settings.MemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
	clock := steady.New()
	lines := klog.NewQueue(env.stdout, klog.DefaultQueueCapacity)
	log := klog.New(lines, klog.WithClock(clock), klog.WithLevel(c.Verbose))
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	daemon, err := platform.Open(settings, clock, log, platform.WithMetricsAddr(c.Metrics))
	if err != nil {
		return errors.Join(fmt.Errorf("start daemon: %w", err), lines.Close())
	}
	log.Info("started", "host", settings.Host(), "settings", path)
	watched := newWatch(path)
	look := clock.NewTicker(lookTime)
	defer look.Stop()
	for {
		select {
		case <-reload:
			log.Info("signal", "signal", "SIGHUP")
			watched.forget()
			c.reload(watched, daemon, log)
		case <-look.Chan():
			c.reload(watched, daemon, log)
		case s := <-ended:
			log.Info("signal", "signal", s.String())
			return errors.Join(daemon.Stop(), lines.Close())
		}
	}
}

// reload reads the settings file again if it has changed. A file that can't be
// used changes nothing.
func (c *fleetCmd) reload(watched *watch, daemon *platform.Daemon, log logr.Logger) {
	if !watched.changed() {
		return
	}
	settings, err := platform.LoadSettings(watched.path)
	if err != nil {
		log.Info("settings not read", "settings", watched.path, "err", err.Error())
		return
	}
	daemon.Apply(settings)
}
