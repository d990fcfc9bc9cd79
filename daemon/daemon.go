package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/meters"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/stream"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

const (
	// snapshotShare is the number of snapshots of the ownership stream within
	// the time for which the log keeps records.
	snapshotShare = 4
	// ordersPending is the number of orders that wait for the decision code.
	ordersPending = 256
	// shutdownWait bounds the end of the listeners.
	shutdownWait = 5 * time.Second
)

// Daemon is the process beside one upstream host.
type Daemon struct {
	settings config.Settings
	token    string
	o        options
	log      logr.Logger
	registry *meters.Registry
	clock    *events.Clock
	recorder *events.Recorder
	port     stream.Port
	budget   *stream.Budget
	writer   *stream.Writer

	view    atomic.Pointer[core.View]
	teams   *policy.Follower
	force   atomic.Pointer[policy.State]
	tracker atomic.Pointer[hotkey.Tracker]
	life    atomic.Pointer[life]
	logs    logState
	holds   *holds
	// evictions are the evict orders that were accepted.
	evictions *evictions
	orders    *ring.Ring[core.Input]
	moves     *ring.Ring[handover]

	transport  *peers.Quic
	gate       *admit.Gate
	meter      *admit.Meter
	journal    *journl.Journal
	relay      *journl.Relay
	keeper     *journl.Keeper
	quarantine *poison.Quarantine
	executor   *upstrm.Executor
	desk       *grant.Issuer
	router     *route.Router
	balancer   *balancer
	listeners  listeners

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	announce chan struct{}
	draining atomic.Bool
	// settled is set once the settings in force are known; seeded while they are
	// a peer's.
	settled atomic.Bool
	seeded  bool
	// chunks numbers the appended parts of settings snapshots.
	chunks   uint64
	left     chan struct{}
	leftOnce sync.Once
	// reached is closed once the log has answered.
	reached     chan struct{}
	reachedOnce sync.Once
	// seedSettings passes a peer's settings to the reader of the settings.
	seedSettings chan [][]byte
}

// New starts a daemon with checked settings.
func New(settings config.Settings, opts ...Option) (*Daemon, error) {
	o := newOptions(opts)
	o.timings.RenewInterval = settings.Lease.RenewInterval
	o.timings.Lease = settings.Lease.Length
	o.timings.Drift = settings.Lease.Drift
	o.timings.SnapshotAge = min(o.timings.SnapshotAge, settings.Log.Retention/snapshotShare)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: settings,
		o:        o,
		log:      o.log.WithValues("host", string(settings.Host)),
		registry: meters.New(meters.WithPrefix("moor")),
		clock:    events.NewClock(o.clock),
		orders:   ring.New[core.Input](ordersPending),
		moves:    ring.New[handover](handoversPending),
		ctx:      ctx,
		cancel:   cancel,
		announce: make(chan struct{}, 1),
		left:     make(chan struct{}),
		holds:    newHolds(),

		evictions: newEvictions(),
		reached:   make(chan struct{}),

		seedSettings: make(chan [][]byte),
	}
	d.recorder = events.NewRecorder(settings.Host, d.clock,
		events.WithCapacity(settings.Timeline.Size), events.WithLogger(o.log))
	d.view.Store(core.New(d.member(ident.Incarnation{}, "")).View())
	if err := d.open(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// open builds the parts and starts the duties.
func (d *Daemon) open() error {
	roots, err := policy.ParseRoots(d.settings.Roots)
	if err != nil {
		return fmt.Errorf("parse root keys: %w", err)
	}
	d.teams = policy.NewFollower(roots, d.settings.Log.Retention)
	d.force.Store(d.teams.State())
	if err := d.readToken(); err != nil {
		return err
	}
	d.openLog()
	d.openPath()
	if err := d.openPeers(); err != nil {
		return err
	}
	if err := d.openListeners(); err != nil {
		return err
	}
	d.balancer = newBalancer(d.ctx, d, d.o.clock)
	settings, err := d.port.Subscribe(stream.From(d.ctx, firstOffset), stream.Settings)
	if err != nil {
		return fmt.Errorf("subscribe to the settings stream: %w", err)
	}
	d.start(settings)
	return nil
}

func (d *Daemon) start(settings <-chan *message.Message) {
	d.run(func() { d.followSettings(settings) })
	d.run(func() {
		for {
			in, err := d.orders.Get(d.ctx)
			if err != nil {
				return
			}
			if l := d.life.Load(); l != nil {
				l.order(d.ctx, in)
			}
		}
	})
	for range handoverWorkers {
		d.run(func() {
			for {
				move, err := d.moves.Get(d.ctx)
				if err != nil {
					return
				}
				d.handOver(move)
			}
		})
	}
	d.run(d.live)
	d.run(d.upkeep)
}

func (d *Daemon) run(duty func()) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		duty()
	}()
}

// openLog sets up the port to the platform's log.
func (d *Daemon) openLog() {
	d.budget = stream.NewBudget(d.o.clock, d.settings.Log.AppendRate, appendBurst)
	d.port = d.o.port
	if d.port == nil {
		d.port = stream.Dial(d.settings.Log.URL,
			stream.WithClock(d.o.clock),
			stream.WithLogger(d.log),
			stream.WithScope(d.registry.Scope()),
			stream.WithState(d.logChanged))
	}
	d.o.port = d.port
	d.writer = stream.NewWriter(d.port, stream.Settings, d.writerOptions()...)
}

func (d *Daemon) writerOptions() []stream.Option {
	return []stream.Option{
		stream.WithClock(d.o.clock),
		stream.WithLogger(d.log),
		stream.WithScope(d.registry.Scope()),
		stream.WithBudget(d.budget),
	}
}

// openPath builds the request path from the router to the upstream.
func (d *Daemon) openPath() {
	scope := d.registry.Scope()
	clock := d.o.clock
	limits := d.settings.Limits
	d.gate = admit.New(admit.WithClock(clock), admit.WithMaxQueued(limits.Queue), admit.WithScope(scope),
		admit.WithEvents(d.recorder, d.settings.Service))
	d.meter = admit.NewMeter(clock, d.gate)
	d.relay = journl.NewRelay(d, d.successors, journl.WithRelayClock(clock))
	d.journal = journl.New(journl.WithClock(clock), journl.WithReplicator(d.relay),
		journl.WithBounds(journalEntries, int(limits.Journal)), journl.WithScope(scope))
	d.keeper = journl.NewKeeper(d.journal, d.relay, journl.WithKeeperClock(clock), journl.WithKeeperLogger(d.log))
	d.quarantine = poison.New(poison.WithClock(clock), poison.WithLogger(d.log), poison.WithScope(scope),
		poison.WithEvents(d.recorder))
	d.executor = upstrm.New(func() upstrm.View { return d.view.Load() },
		upstrm.WithClock(clock), upstrm.WithHost(d.settings.Host), upstrm.WithLogger(d.log),
		upstrm.WithScope(scope), upstrm.WithGate(d.gate), upstrm.WithMeter(d.meter),
		upstrm.WithJournal(d.journal), upstrm.WithQuarantine(d.quarantine), upstrm.WithMaxConns(limits.UpstreamConns),
		upstrm.WithCrashReporter(d.crashed), upstrm.WithOwnedSince(d.holds.begin), upstrm.WithEvents(d.recorder))
	d.desk = grant.New(func() grant.View { return granted{View: d.view.Load(), holds: d.holds} },
		grant.WithClock(clock), grant.WithListener(d), grant.WithLogger(d.log),
		grant.WithService(d.settings.Service), grant.WithMaxValidity(d.settings.Grant.Length),
		grant.WithPendingWork(d.executor), grant.WithEvents(d.recorder))
}

func (d *Daemon) openPeers() error {
	tlsConfig := d.o.tls
	if tlsConfig == nil {
		var err error
		tlsConfig, err = d.readTLS()
		if err != nil {
			return err
		}
	}
	transport, err := peers.Listen(d.settings.Listen.Peer, tlsConfig, d,
		peers.WithClock(d.o.clock), peers.WithLogger(d.log),
		peers.WithScope(d.registry.Scope()), peers.WithSelf(d.self),
		peers.WithPeerState(d.peerChanged))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.transport = transport
	d.router = route.New(func() route.View { return d.view.Load() }, d.executor, transport,
		route.WithClock(d.o.clock), route.WithLogger(d.log), route.WithScope(d.registry.Scope()))
	return nil
}

// openListeners opens the HTTP listeners for callers, operators and the
// upstream.
func (d *Daemon) openListeners() error {
	limits := caller.DefaultLimits()
	limits.Header = int(d.settings.Limits.Header)
	limits.HeaderTime = d.settings.Limits.HeaderTimeout
	limits.IdleTime = d.settings.Limits.IdleTimeout
	limits.Conns = d.settings.Limits.CallerConns
	callers := caller.New(d.router, services{state: d.state, ready: d.isSettled, limits: d.settings.Limits},
		caller.WithClock(d.o.clock), caller.WithHost(d.settings.Host), caller.WithLogger(d.log),
		caller.WithScope(d.registry.Scope()), caller.WithMaxBody(int64(d.settings.Limits.Body)))
	operators := admin.New(source{d}, source{d}, admin.WithToken(d.token))
	return d.listeners.open(&d.tasks, d.o.clock, d.log,
		listener{name: "caller", addr: d.settings.Listen.Caller, server: caller.NewServer("", d.parting(callers), limits)},
		listener{name: "admin", addr: d.settings.Listen.Admin, server: caller.NewServer("", operators, caller.DefaultLimits())},
		listener{name: "upstream", addr: d.settings.Listen.Upstream, server: caller.NewServer("", d.desk, caller.DefaultLimits())},
	)
}

// parting asks callers to open new connections, elsewhere, while the daemon
// drains: an idle connection that is closed at the end may have a request on
// its way.
func (d *Daemon) parting(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Drain gives all slots away, waits until nothing is in flight and stops
// taking requests. It returns an error when ctx ends first.
func (d *Daemon) Drain(ctx context.Context) error {
	d.startDrain()
	select {
	case <-d.left:
	case <-ctx.Done():
		return fmt.Errorf("give slots away: %w", ctx.Err())
	}
	idle := make(chan struct{})
	d.executor.Drain(sync.OnceFunc(func() { close(idle) }))
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
	}
	if err := d.listeners.shutdown(ctx); err != nil {
		return fmt.Errorf("end listeners: %w", err)
	}
	return nil
}

func (d *Daemon) startDrain() {
	if d.draining.CompareAndSwap(false, true) {
		d.recorder.Emit(events.Event{Kind: events.KindDrain, Note: "drain ordered"})
		d.order(core.Drain{})
	}
}

// Left is closed once a drain has given all slots away.
func (d *Daemon) Left() <-chan struct{} { return d.left }

// Close ends the daemon at once. Requests in flight are cut.
func (d *Daemon) Close() error {
	d.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
	defer cancel()
	errs := []error{d.listeners.close()}
	if d.desk != nil {
		errs = append(errs, d.desk.Close())
	}
	if d.keeper != nil {
		errs = append(errs, d.keeper.Close())
	}
	if d.executor != nil {
		errs = append(errs, d.executor.Close())
	}
	if d.transport != nil {
		errs = append(errs, d.transport.Close())
	}
	if d.writer != nil {
		errs = append(errs, d.writer.Close())
	}
	if d.o.port != nil {
		errs = append(errs, d.port.Close())
	}
	d.wait(ctx)
	errs = append(errs, d.recorder.Close(), d.registry.Close())
	return errors.Join(errs...)
}

// wait waits for the duties, at most until ctx ends.
func (d *Daemon) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Info("duties did not end in time")
	}
}

// Addr returns the address of a listener: caller, admin or upstream.
func (d *Daemon) Addr(name string) net.Addr { return d.listeners.addr(name) }

// PeerAddr returns the UDP address for other daemons.
func (d *Daemon) PeerAddr() string { return d.transport.Addr() }

// self returns the current incarnation.
func (d *Daemon) self() ident.Incarnation {
	if l := d.life.Load(); l != nil {
		return l.self.Inc
	}
	return ident.Incarnation{}
}

// order passes an input to the decision code of the current incarnation.
func (d *Daemon) order(in core.Input) {
	if !d.orders.Put(in) {
		d.log.Info("order lost, too many wait", "order", fmt.Sprintf("%T", in))
	}
}

// Status returns what the daemon says of itself and of the table it reads.
func (d *Daemon) Status() admin.Status { return source{d}.Status() }
