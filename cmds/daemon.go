package cmds

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/daemon"
	"github.com/monsoonmoor/monsoonmoor/klog"
)

// daemonCmd runs the daemon beside an upstream host.
type daemonCmd struct {
	Config string        `help:"The daemon's settings file." required:"" type:"existingfile" placeholder:"FILE"`
	Drain  time.Duration `help:"Longest time that a drain may take after SIGTERM." default:"30s"`
}

// Run implements the command. SIGTERM and SIGINT drain the daemon; a second
// signal ends it at once. A daemon whose upstream left ends by itself.
func (c *daemonCmd) Run(env *Env) error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	log := klog.New(env.stderr, klog.WithLevel(settings.Verbosity))
	d, err := daemon.New(settings, daemon.WithLogger(log))
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	log.Info("daemon started", "host", string(settings.Host), "caller", settings.Listen.Caller,
		"peer", settings.Listen.Peer, "admin", settings.Listen.Admin, "upstream", settings.Listen.Upstream)
	signaled, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signaled.Done():
	case <-d.Left():
	}
	stop()
	ctx, again := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer again()
	ctx, cancel := context.WithTimeout(ctx, c.Drain)
	defer cancel()
	err = d.Drain(ctx)
	if err = errors.Join(err, d.Close()); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	log.Info("daemon ended", "host", string(settings.Host))
	return nil
}
