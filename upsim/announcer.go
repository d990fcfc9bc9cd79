package upsim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/grant"
)

// Times of the announcer.
const (
	// AnnounceEvery is the time between announcements, and the time for which
	// the daemon may hold its answer back while nothing changes.
	AnnounceEvery = 300 * time.Millisecond
	// announceTimeout is how long one may take.
	announceTimeout = time.Second
	// maxGrants bounds the answer in bytes.
	maxGrants = 4 << 20
)

// announcer tells the daemon of the upstream and takes its grants.
type announcer struct {
	state   *state
	clock   clockwork.Clock
	log     logr.Logger
	url     string
	server  *server
	client  *http.Client
	leaving atomic.Bool
	poked   chan struct{}
	// drained is closed when the daemon has nothing left for the upstream.
	drained     chan struct{}
	drainedOnce sync.Once
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}
}

func newAnnouncer(s *state, clock clockwork.Clock, log logr.Logger, url string) *announcer {
	a := &announcer{
		state:   s,
		clock:   clock,
		log:     log,
		url:     url,
		client:  &http.Client{Transport: &http.Transport{}, Timeout: announceTimeout},
		poked:   make(chan struct{}, 1),
		drained: make(chan struct{}),
		done:    make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// start begins to announce the state of srv.
func (a *announcer) start(srv *server) {
	a.server = srv
	go func() {
		defer close(a.done)
		a.run()
	}()
}

func (a *announcer) run() {
	ticker := a.clock.NewTicker(AnnounceEvery)
	defer ticker.Stop()
	failed := false
	for a.ctx.Err() == nil {
		have := a.state.revision()
		err := a.announceUntilPoked()
		if failed != (err != nil) {
			failed = err != nil
			a.log.Info("announce", "host", a.state.cfg.Host, "up", !failed, "error", err)
		}
		// New grants are confirmed at once: a shard that has gone is not served
		// elsewhere before.
		if a.state.revision() != have {
			continue
		}
		select {
		case <-a.ctx.Done():
		case <-a.poked:
		case <-ticker.Chan():
		}
	}
}

// announceUntilPoked announces once. A poke ends the wait for an answer that
// the daemon holds back.
func (a *announcer) announceUntilPoked() error {
	select {
	case <-a.poked:
	default:
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- a.announce(ctx) }()
	select {
	case err := <-answered:
		return err
	case <-a.poked:
	}
	cancel()
	err := <-answered
	a.poke()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (a *announcer) announce(ctx context.Context) error {
	cfg := a.state.cfg
	b := a.server.current()
	data, err := json.Marshal(grant.Announcement{
		Service:        cfg.Service,
		Instance:       a.state.instance,
		URL:            a.url,
		Slots:          cfg.Slots,
		Conns:          cfg.Conns,
		ChecksTokens:   cfg.Checks,
		Cold:           b.isCold(a.state.age()),
		Leaving:        a.leaving.Load(),
		HeldRevision:   a.state.revision(),
		MaxDelayMillis: AnnounceEvery.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cfg.Daemon+grant.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("make announcement: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	sent := a.clock.Now()
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("announce to %s: %w", cfg.Daemon, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return a.take(sent, resp)
}

func (a *announcer) take(sent time.Time, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxGrants))
	if err != nil {
		return fmt.Errorf("read grants: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read grants: status %d", resp.StatusCode)
	}
	var g grant.Grants
	if err := json.Unmarshal(body, &g); err != nil {
		return fmt.Errorf("decode grants: %w", err)
	}
	a.state.takeGrants(sent, g)
	if g.Drained && a.leaving.Load() {
		a.drainedOnce.Do(func() { close(a.drained) })
	}
	return nil
}

// poke makes the next announcement come at once.
func (a *announcer) poke() {
	select {
	case a.poked <- struct{}{}:
	default:
	}
}

// leave announces that the upstream wants to drain.
func (a *announcer) leave() {
	a.leaving.Store(true)
	a.poke()
}

// stop ends the announcements without waiting.
func (a *announcer) stop() {
	a.cancel()
}

// wait returns when the announcer has ended.
func (a *announcer) wait() {
	<-a.done
	a.client.CloseIdleConnections()
}
