package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/load"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/report"
)

const (
	// trialTime is the service time of an upstream in a trial. It is long, so
	// that few requests load the upstreams without using up the processor.
	trialTime = 60 * time.Millisecond
	// trialLoad is the share of the upstreams' slots that a trial uses.
	trialLoad = 0.4
	// trialKeys is the number of keys, and trialZipf the exponent of their
	// popularity: the first key has 8% of all calls.
	trialKeys = 50_000
	trialZipf = 1.01
	// heavyKeys and heavyZipf give the first key 17% of all calls, which is the
	// whole fair share of one of six upstreams.
	heavyKeys = 2000
	heavyZipf = 1.1
	// sampleInterval is the time between two looks at the table.
	sampleInterval = 500 * time.Millisecond
)

// shapes are the loads of an experiment.
var shapes = []struct {
	name  string
	apply func(*load.Config)
}{
	{"steady", func(*load.Config) {}},
	{"heavy key", func(c *load.Config) { c.Keys, c.Zipf = heavyKeys, heavyZipf }},
	{"rush", func(c *load.Config) { c.Shape = load.ShapeRush }},
	{"gathering", func(c *load.Config) { c.Shape = load.ShapeGathering; c.Rate *= 0.6 }},
	{"23 hot keys", func(c *load.Config) { c.Hot, c.HotShare, c.HotEvery = 23, 0.4, c.Duration/2 }},
}

// Experiment compares placements of slots.
type Experiment struct {
	// Load is the length of each trial.
	Load time.Duration
	// Seed makes the loads of both placements the same.
	Seed uint64
	// Shapes names the loads; empty means all.
	Shapes []string
}

// Run makes the trials of the divided services of all deployments, and measures
// for how long keys are unavailable by planned moves and losses.
func (e Experiment) Run(ctx context.Context, opts ...Option) (*report.Report, error) {
	r := &report.Report{}
	for _, shape := range shapes {
		if !e.wants(shape.name) {
			continue
		}
		trials, err := e.compare(ctx, shape.name, shape.apply, opts)
		if err != nil {
			return nil, err
		}
		r.Trials = append(r.Trials, trials...)
	}
	planned, err := gaps(ctx, report.Planned, []report.Placement{report.Moved}, opts)
	if err != nil {
		return nil, err
	}
	lost, err := gaps(ctx, report.Loss, []report.Placement{report.Moved, report.Static}, opts)
	if err != nil {
		return nil, err
	}
	r.Gaps = slices.Concat(planned, lost)
	return r, nil
}

// compare makes the trials of one shape. They run at the same time, in a fleet
// for each service and placement.
func (e Experiment) compare(ctx context.Context, shape string, apply func(*load.Config), opts []Option) ([]*report.Trial, error) {
	var trials []*report.Trial
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range divided() {
		for _, placement := range []report.Placement{report.Moved, report.Static} {
			t := &report.Trial{
				Service: string(d.Services[0].Name), Shape: shape,
				Placement: placement, Upstreams: d.Services[0].Upstreams,
			}
			trials = append(trials, t)
			group.Go(func() error { return e.try(ctx, d, t, apply, opts) })
		}
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("trial of %s: %w", shape, err)
	}
	return trials, nil
}

func (e Experiment) wants(shape string) bool {
	for _, name := range e.Shapes {
		if name == shape {
			return true
		}
	}
	return len(e.Shapes) == 0
}

// divided returns each divided service as a deployment of its own.
func divided() []Deployment {
	var list []Deployment
	for _, d := range Deployments() {
		for _, s := range d.Services {
			if s.Divided {
				d.Services = []ServiceSize{s}
				list = append(list, d)
				break
			}
		}
	}
	return list
}

// share returns the settings of a placement.
func share(p report.Placement) policy.Share {
	s := policy.DefaultService().Share
	if p == report.Static {
		s.Moves, s.Pins = 0, 0
	}
	return s
}

// try runs one trial in a fleet of its own.
func (e Experiment) try(ctx context.Context, d Deployment, t *report.Trial, apply func(*load.Config), opts []Option) (err error) {
	opts = append([]Option{WithShare(share(t.Placement)), WithServiceTime(trialTime)}, opts...)
	f, err := Start([]Deployment{d}, opts...)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.Settle(settle); err != nil {
		return err
	}
	s := d.Services[0]
	cfg := load.Config{
		Targets:  f.Targets(d.Region),
		Service:  s.Name,
		Rate:     trialLoad * float64(s.Slots*s.Upstreams) / trialTime.Seconds(),
		Duration: e.Load,
		Seed:     e.Seed,
		Keys:     trialKeys,
		Zipf:     trialZipf,
		Writes:   loadWrites,
		InFlight: s.Slots * s.Upstreams * 4,
	}
	apply(&cfg)
	samples := f.sample(ctx)
	history := &trace{}
	start := f.clock.Now()
	t.Result, err = load.Run(ctx, cfg, load.WithClock(f.clock), load.WithHistory(history))
	t.Samples = samples()
	if err != nil {
		return fmt.Errorf("load %s: %w", s.Name, err)
	}
	sums := history.sum(start, s.Upstreams)
	t.Least, t.Others, t.Outages, t.Failed = sums.least, sums.others, sums.outages, sums.failed
	return nil
}

// sample begins to look at the table; the returned function ends
// it and returns what was seen.
func (f *Fleet) sample(ctx context.Context) func() []report.Sample {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan []report.Sample)
	go func() {
		start, last, moved := f.clock.Now(), f.owners(), 0
		var samples []report.Sample
		look := func() {
			next := f.owners()
			pins := 0
			for shard, host := range next {
				if shard.Slot >= ident.DefaultSlots {
					pins++
				}
				if before, ok := last[shard]; ok && before != host {
					moved++
				}
			}
			last = next
			samples = append(samples, report.Sample{At: f.clock.Since(start).Seconds(), Moved: moved, Pins: pins})
		}
		for {
			look()
			select {
			case <-ctx.Done():
				look()
				done <- samples
				return
			case <-f.clock.After(sampleInterval):
			}
		}
	}()
	return func() []report.Sample {
		cancel()
		return <-done
	}
}
