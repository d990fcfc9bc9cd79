package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// queueLength is the number of arrivals that may wait; those over it are
// counted as not sent.
const queueLength = 1 << 16

// Option sets a detail of a run.
type Option func(*options)

type options struct {
	clock   clockwork.Clock
	history io.Writer
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithHistory writes one line of JSON for each attempt to w, in one Write.
// Lines are verify.Attempt values.
func WithHistory(w io.Writer) Option {
	return func(o *options) { o.history = w }
}

// Run makes the load that cfg describes and returns what came of it, early
// when ctx ends. Errors match ErrConfig or are those of the history; failed
// requests are in the result.
func Run(ctx context.Context, cfg Config, opts ...Option) (*Result, error) {
	o := options{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(&o)
	}
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: cfg.InFlight,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
	}
	defer transport.CloseIdleConnections()
	start := o.clock.Now()
	g := &generator{
		cfg:   cfg,
		clock: o.clock,
		start: start,
		queue: ring.New[arrival](queueLength),
		caller: &caller{
			cfg:      cfg,
			clock:    o.clock,
			start:    start,
			run:      uuid.NewString()[:8],
			client:   &http.Client{Transport: transport},
			recorder: newRecorder(start, o.history),
		},
	}
	g.run(ctx)
	res, err := g.caller.recorder.finish(o.clock.Now())
	if err != nil {
		return nil, fmt.Errorf("write history: %w", err)
	}
	return res, nil
}

// generator hands the arrivals of the schedule to callers in time.
type generator struct {
	cfg    Config
	clock  clockwork.Clock
	start  time.Time
	queue  *ring.Ring[arrival]
	caller *caller
	// pending counts arrivals in the queue and in the callers' hands.
	pending sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	working, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for range g.cfg.InFlight {
		workers.Go(func() { g.work(working) })
	}
	g.dispatch(ctx)
	g.pending.Wait()
	stop()
	workers.Wait()
}

// dispatch puts each arrival into the queue at its time.
func (g *generator) dispatch(ctx context.Context) {
	s := newSchedule(g.cfg)
	for a, ok := s.next(); ok; a, ok = s.next() {
		if !g.waitUntil(ctx, g.start.Add(a.at)) {
			return
		}
		g.pending.Add(1)
		if !g.queue.Put(a) {
			g.caller.refuse(a)
			g.pending.Done()
		}
	}
}

// waitUntil waits for a time. It reports false when ctx ended first.
func (g *generator) waitUntil(ctx context.Context, at time.Time) bool {
	d := g.clock.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := g.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generator) work(ctx context.Context) {
	for {
		a, err := g.queue.Get(ctx)
		if err != nil {
			return
		}
		g.caller.do(ctx, a)
		g.pending.Done()
	}
}

// refuse records an arrival that the queue has no room for.
func (c *caller) refuse(a arrival) {
	c.recorder.offered(c.clock.Since(c.start.Add(a.at)))
	c.recorder.call(ending{kind: a.kind, at: a.at, outcome: verify.OutcomeNotSent})
}
