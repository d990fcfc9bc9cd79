package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/load"
)

const (
	// settleTimeout bounds the time until every slot has an owner.
	settleTimeout = 30 * time.Second
	// loadRate is the arrivals a second at each divided service.
	loadRate = 300
	// loadKeys is the number of keys of each divided service.
	loadKeys = 2000
	// loadWrites is the share of requests that change state.
	loadWrites = 0.3
	// loadZipf is the exponent of the popularity of keys.
	loadZipf = 1.1
)

// Plan says what a run of the demo does.
type Plan struct {
	// Load is the length of the load.
	Load time.Duration
	// Loss is when, after the start of the load, one host of each divided
	// service is lost; zero loses none.
	Loss time.Duration
	// Seed makes runs repeat.
	Seed uint64
}

// Run settles the fleet, loads it, loses a host of each divided service and
// returns what came of it.
func (f *Fleet) Run(ctx context.Context, plan Plan) (*Summary, error) {
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	start := f.clock.Now()
	if err := f.Settle(settle); err != nil {
		return nil, err
	}
	summary := &Summary{Settled: f.clock.Since(start), Hosts: len(f.hosts)}
	before := f.owners()
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range f.deployments {
		for _, s := range d.Services {
			if !s.Divided {
				continue
			}
			report := &ServiceSummary{Service: s.Name, Upstreams: s.Upstreams}
			summary.Services = append(summary.Services, report)
			group.Go(func() error { return f.load(ctx, d, s, plan, report) })
		}
	}
	if plan.Loss > 0 {
		group.Go(func() error { return f.lose(ctx, plan.Loss, summary) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	summary.finish(f, before)
	return summary, nil
}

// load makes the load of one service.
func (f *Fleet) load(ctx context.Context, d Deployment, s ServiceSize, plan Plan, report *ServiceSummary) error {
	result, err := load.Run(ctx, load.Config{
		Targets:  f.Targets(d.Region),
		Service:  s.Name,
		Rate:     loadRate,
		Duration: plan.Load,
		Seed:     plan.Seed,
		Keys:     loadKeys,
		Zipf:     loadZipf,
		Writes:   loadWrites,
	})
	if err != nil {
		return fmt.Errorf("load %s: %w", s.Name, err)
	}
	report.Result = result
	return nil
}

// lose kills the last host of each divided service.
func (f *Fleet) lose(ctx context.Context, after time.Duration, summary *Summary) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.clock.After(after):
	}
	var errs []error
	for _, d := range f.deployments {
		for _, s := range d.Services {
			if h := f.last(s.Name); s.Divided && h != nil {
				summary.Lost = append(summary.Lost, h.name)
				errs = append(errs, h.Kill())
			}
		}
	}
	return errors.Join(errs...)
}

func (f *Fleet) last(service ident.Service) *Host {
	for i := len(f.hosts) - 1; i >= 0; i-- {
		if h := f.hosts[i]; h.service == service && !h.lost {
			return h
		}
	}
	return nil
}

// Main starts the fleet, runs the plan and writes the summary to w. With keep
// it then leaves the fleet up until ctx ends.
func Main(ctx context.Context, plan Plan, keep bool, asJSON bool, w io.Writer, opts ...Option) (err error) {
	fleet, err := Start(Deployments(), opts...)
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	summary, err := fleet.Run(ctx, plan)
	if err != nil {
		return fmt.Errorf("run demo: %w", err)
	}
	write := summary.WriteText
	if asJSON {
		write = summary.WriteJSON
	}
	if err := write(w); err != nil {
		return err
	}
	if keep {
		if err := fleet.writeAddrs(w); err != nil {
			return err
		}
		<-ctx.Done()
	}
	return nil
}

// writeAddrs lists where the fleet listens.
func (f *Fleet) writeAddrs(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "log %s\n", f.logURL); err != nil {
		return fmt.Errorf("write addresses: %w", err)
	}
	for _, h := range f.hosts {
		if h.lost {
			continue
		}
		if _, err := fmt.Fprintf(w, "%-14s caller %s  admin %s\n", h.name, h.CallerURL(), h.AdminURL()); err != nil {
			return fmt.Errorf("write addresses: %w", err)
		}
	}
	return nil
}
