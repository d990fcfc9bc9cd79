package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/load"
	"github.com/monsoonmoor/monsoonmoor/report"
)

const (
	// probeKeys is the number of keys that a probe asks for.
	probeKeys = 32
	// probeInterval is the time between two questions for a key.
	probeInterval = 4 * time.Millisecond
	// probeTime is the service time that a question takes.
	probeTime = "1ms"
	// probeTimeout bounds a question, and probeWait the end of a host.
	probeTimeout = time.Second
	probeWait    = 20 * time.Second
	// probeSettle and probeAfter are the times of questions before and after.
	probeSettle = time.Second
	probeAfter  = 6 * time.Second
)

// errProbe means that a probe found no keys or could not ask for them.
var errProbe = errors.New("probe")

// Probe ends a host by end and returns, for each of a few keys that it owned,
// the longest time between two answers: that for which the key was unavailable.
func (f *Fleet) Probe(ctx context.Context, h *Host, end func(context.Context) error) (load.Percentiles, error) {
	keys := f.keysOf(h, probeKeys)
	targets := slices.DeleteFunc(f.Targets(h.region), func(url string) bool { return url == h.CallerURL() })
	if len(keys) == 0 {
		return load.Percentiles{}, fmt.Errorf("%w: %s owns no key", errProbe, h.name)
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	gaps := newHistogram()
	var mu sync.Mutex
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: probeKeys}, Timeout: probeTimeout}
	defer client.CloseIdleConnections()
	for _, key := range keys {
		group.Go(func() {
			gap := f.ask(asking, client, targets, h.service, key)
			mu.Lock()
			defer mu.Unlock()
			note(gaps, int64(gap))
		})
	}
	f.clock.Sleep(probeSettle)
	ending, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	err := end(ending)
	f.clock.Sleep(probeAfter)
	stop()
	group.Wait()
	return percentiles(gaps), err
}

// gaps measures for how long keys are unavailable by a cause, in a fleet of
// its own for each service and placement.
func gaps(ctx context.Context, cause report.Cause, placements []report.Placement, opts []Option) ([]report.Gap, error) {
	var list []*report.Gap
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range divided() {
		for _, placement := range placements {
			g := &report.Gap{Service: string(d.Services[0].Name), Cause: cause, Placement: placement}
			list = append(list, g)
			group.Go(func() error { return probe(ctx, d, g, opts) })
		}
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("probe of %s: %w", cause, err)
	}
	all := make([]report.Gap, len(list))
	for i, g := range list {
		all[i] = *g
	}
	return all, nil
}

// probe measures one gap in a fleet of its own.
func probe(ctx context.Context, d Deployment, g *report.Gap, opts []Option) (err error) {
	f, err := Start([]Deployment{d}, append([]Option{WithShare(share(g.Placement))}, opts...)...)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.Settle(settle); err != nil {
		return err
	}
	h := f.hosts[0]
	end := h.daemon.Drain
	if g.Cause == report.Loss {
		end = func(context.Context) error { return h.Kill() }
	}
	g.Time, err = f.Probe(ctx, h, end)
	return err
}

// keysOf returns keys in slots of their own that a host owns.
func (f *Fleet) keysOf(h *Host, n int) []string {
	owners := f.owners()
	taken := make(map[ident.Slot]bool)
	var keys []string
	for i := 0; len(keys) < n && i < loadKeys; i++ {
		slot := ident.SlotOfHash(ident.HashKey(load.KeyName(i)), ident.DefaultSlots)
		if owners[ident.NewShard(h.service, slot)] == h.name && !taken[slot] {
			taken[slot] = true
			keys = append(keys, load.KeyName(i))
		}
	}
	return keys
}

// ask asks for a key until ctx ends and returns the longest time between two
// answers.
func (f *Fleet) ask(ctx context.Context, client *http.Client, targets []string, service ident.Service, key string) time.Duration {
	var longest time.Duration
	last := f.clock.Now()
	for ctx.Err() == nil {
		if askOnce(client, targets[rand.IntN(len(targets))], service, key) == nil {
			now := f.clock.Now()
			longest = max(longest, now.Sub(last))
			last = now
		}
		f.clock.Sleep(probeInterval)
	}
	return longest
}

// askOnce reads a key through a daemon.
func askOnce(client *http.Client, target string, service ident.Service, key string) error {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/%s/keys/%s?time=%s", target, service, key, probeTime), nil)
	if err != nil {
		return fmt.Errorf("ask for %s: %w", key, err)
	}
	req.Header.Set(calls.HeaderKey, key)
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("ask for %s: %w", key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read answer for %s: %w", key, err)
	}
	if resp.Header.Get(calls.HeaderOutcome) != calls.Answered.String() {
		return fmt.Errorf("%w: %s: status %d", errProbe, key, resp.StatusCode)
	}
	return nil
}
