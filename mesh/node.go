package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/cpulag"
	"github.com/monsoonmoor/monsoonmoor/evac"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/plan"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/quota"
	"github.com/monsoonmoor/monsoonmoor/sched"
	"github.com/monsoonmoor/monsoonmoor/steer"
	"github.com/monsoonmoor/monsoonmoor/store"
	"github.com/monsoonmoor/monsoonmoor/upconn"
	"github.com/monsoonmoor/monsoonmoor/vhost"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// reconcileInterval is the time between two runs of the owner state machine, which
	// handles leases, members and moves.
	reconcileInterval = 100 * time.Millisecond
	// keyRateInterval is the time between two updates of the measured call rates of the
	// keys.
	keyRateInterval = 250 * time.Millisecond
)

// Node is the daemon beside one upstream.
type Node struct {
	settings Settings
	ports    Ports
	clock    clockwork.Clock
	log      logr.Logger
	scope    tally.Scope
	metrics  metrics
	self     ident.Incarnation

	plans            *vhost.Holder
	gate             *sched.Gate
	pool             *upconn.Pool
	web              *peers.Web
	socket           *gossip.Socket
	router           *steer.Router
	budget           *steer.Budget
	upstreamKeyRates *plan.Heat
	callerKeyRates   *plan.Heat
	peerWaits        *peerWaits
	retries          *sched.RetryTracker
	timerLag         *cpulag.Meter
	// inFlight, answered and quarantine detect the calls that crash upstreams.
	inFlight   *inFlight
	answered   *poison.Answered
	quarantine *poison.Quarantine
	// quarantineChanges are the entries of the quarantine that wait to be stored.
	quarantineChanges chan wire.Suspect

	// mu guards the daemon's view of the fleet, the leases, the ownership tables and
	// the upstream.
	mu      sync.Mutex
	state   *gossip.State
	witness *lease.Witness
	machine *owner.Machine
	// bodies bounds the memory of the bodies of requests.
	bodies *quota.Account
	// era is the era of the store, which rises when the store is restored from a copy.
	era uint64
	// rewriting is set for a while after that.
	rewriting bool
	// evacuations are the zones that the operator has evacuated.
	evacuations *evac.State
	tables      map[ident.Service]*table
	upstream    upstreamState
	changed     chan struct{}
	stopping    bool
	// callLimits bounds the calls of a daemon that is about to end; nil until then.
	callLimits atomic.Pointer[callLimits]
	// applied are the newest settings; the field settings keeps those of the start.
	applied Settings

	followers         []*store.Follower
	fetching          sync.Map
	readingEnd        atomic.Bool
	configRaw         atomic.Pointer[document]
	ready             atomic.Bool
	reconcileRequests chan struct{}
	// probeRequests triggers a probe of the upstream.
	probeRequests chan struct{}

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

var (
	_ calls.Executor   = (*Node)(nil)
	_ peers.WebHandler = (*peerHandler)(nil)
	_ steer.Directory  = (*Node)(nil)
)

// New starts a node. The error wraps ErrSettings if the settings are invalid.
func New(settings Settings, ports Ports, opts ...Option) (*Node, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, applied: settings, ports: ports,
		clock: clockwork.NewRealClock(), log: logr.Discard(), scope: tally.NoopScope,
		plans: vhost.NewHolder(), upstreamKeyRates: plan.NewHeat(), callerKeyRates: plan.NewHeat(), retries: sched.NewRetryTracker(), timerLag: cpulag.New(),
		tables: make(map[ident.Service]*table), changed: make(chan struct{}),
		quarantineChanges: make(chan wire.Suspect, maxPendingQuarantined),
		reconcileRequests: make(chan struct{}, 1), probeRequests: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.peerWaits = newPeerWaits(n.clock)
	n.metrics = newMetrics(n.scope)
	now := n.clock.Now()
	n.self = ident.NewIncarnation(settings.Host, uint64(now.UnixMilli()))
	n.log = n.log.WithValues("host", string(settings.Host))
	n.buildComponents(now)
	if err := n.listen(); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	n.start()
	return n, nil
}

// buildComponents creates the components that do no input or output.
func (n *Node) buildComponents(now time.Time) {
	s := n.settings
	n.state = gossip.NewState(gossip.Entry{
		Inc: n.self, Addr: s.PeerAddr, Zone: s.Zone, Service: s.Service,
	}, gossip.DefaultTimings(), n.self.Boot)
	n.seed(now, s.Seeds)
	n.evacuations = evac.New()
	n.bodies = quota.New(n.bodyCapacity(), quota.WithClock(n.clock))
	n.witness = lease.NewWitness(n.self, s.leaseTerms(), now)
	n.gate = sched.NewGate(n.clock)
	n.pool = upconn.New(s.Upstream, n.ports.Dialect, upconn.WithClock(n.clock), upconn.WithLogger(n.log),
		upconn.WithScope(n.scope), upconn.WithDown(n.handleUpstreamDown),
		upconn.WithSlowness(n.gate.ReportSlowness))
	n.budget = steer.NewBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	n.upstream = newUpstreamState(s.answerHold())
	n.inFlight, n.answered, n.quarantine = newInFlight(), poison.NewAnswered(), newQuarantine(n)
}

// seed adds addresses at which other daemons may be found.
func (n *Node) seed(now time.Time, addrs []string) {
	for _, addr := range addrs {
		n.state.Seed(now, ident.NewIncarnation(ident.Host("seed-"+addr), 0), addr)
	}
}

// listen opens the sockets for other daemons and creates the router.
func (n *Node) listen() error {
	var err error
	n.web, err = peers.ListenWeb(n.settings.PeerAddr, nil, &peerHandler{n}, peers.WithWebClock(n.clock),
		peers.WithWebLogger(n.log), peers.WithBodies(n.bodies), peers.WithWaitFunc(n.peerWaits.record))
	if err != nil {
		return err
	}
	n.router = steer.New(n, &localExecutor{node: n}, n.web, steer.WithClock(n.clock), steer.WithLogger(n.log),
		steer.WithScope(n.scope), steer.WithBudget(n.budget), steer.WithRegion(n.settings.Regions[n.settings.Zone]))
	// Messages may arrive before Listen has returned, and their answers need the socket.
	ready := make(chan struct{})
	defer close(ready)
	n.socket, err = gossip.Listen(n.settings.PeerAddr, func(m gossip.Message) {
		<-ready
		n.handleMessage(m)
	}, n.log)
	if err != nil {
		return fmt.Errorf("open gossip socket: %w", err)
	}
	return nil
}

// start starts the background goroutines.
func (n *Node) start() {
	n.followConfig()
	n.spawn(n.announce)
	n.spawn(n.restoreQuarantine)
	n.spawn(n.storeQuarantine)
	n.spawn(func() { n.every(gossip.DefaultTimings().Interval, n.sendGossip) })
	n.spawn(n.reconcileLoop)
	n.spawn(func() { n.every(keyRateInterval, n.updateKeyRates) })
	n.spawn(func() { n.every(bodyReportInterval, n.reportBodies) })
	n.spawn(n.monitorUpstream)
	n.spawn(n.monitorLateness)
	n.spawn(n.watchConfig)
}

// spawn runs a worker in a goroutine that Close waits for.
func (n *Node) spawn(worker func()) {
	n.workers.Add(1)
	go func() {
		defer n.workers.Done()
		worker()
	}()
}

// every calls f at the given interval until the node is closed.
func (n *Node) every(interval time.Duration, f func()) {
	ticker := n.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}

// Run implements calls.Executor for callers of this daemon. The call arrives with the
// caller's deadline, which is shortened to the route's timeout here.
func (n *Node) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	now := n.clock.Now()
	if call.Ordered {
		n.callerKeyRates.Touch(call.Point)
	}
	asked, fingerprint := call.Deadline, poison.Fingerprint(call, bodyPrefix(call))
	begun := n.retries.FirstAttempt(now, fingerprint, asked)
	call.Terms.Spent = now.Sub(begun)
	call.Answered = n.answered.Contains(now, fingerprint)
	if t := call.Terms.Timeout; t > 0 && t < asked.Sub(now) {
		call.Deadline = now.Add(t)
	}
	reply, err := n.route(ctx, now, call)
	ended := n.clock.Now()
	if err != nil {
		n.retries.RecordFailure(fingerprint, begun, asked)
	} else {
		n.answered.Record(ended, fingerprint)
	}
	n.metrics.recordCall(ended.Sub(now), reply, err)
	return reply, err
}

// route sends a call to the daemon whose upstream runs it, unless this daemon may end
// before the call does.
func (n *Node) route(ctx context.Context, now time.Time, call *calls.Call) (*calls.Reply, error) {
	if refusal := n.refuseUnfinishable(now, call); refusal != nil {
		return nil, refusal
	}
	n.limitDeadline(call)
	return n.router.Run(ctx, call)
}

// Plan returns the configuration in force.
func (n *Node) Plan() *vhost.RoutingConfig { return n.plans.Plan() }

// Ready reports whether callers should use this daemon: it has a configuration, is not
// stopping, and gets enough processor time to serve them.
func (n *Node) Ready() bool { return n.ready.Load() && !n.timerLag.Starved() }

// requestReconcile asks reconcileLoop to run now. It doesn't block.
func (n *Node) requestReconcile() {
	select {
	case n.reconcileRequests <- struct{}{}:
	default:
	}
}

// notify wakes the calls that wait for a change of the ownership or of the targets. It
// is called with mu held.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed implements steer.Directory.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Close ends the node at once and aborts the calls in flight.
func (n *Node) Close() error {
	n.cancel()
	var errs []error
	for _, f := range n.followers {
		errs = append(errs, f.Close())
	}
	n.mu.Lock()
	for _, t := range n.tables {
		if t.follower != nil {
			n.mu.Unlock()
			errs = append(errs, t.follower.Close())
			n.mu.Lock()
		}
	}
	n.mu.Unlock()
	if n.socket != nil {
		errs = append(errs, n.socket.Close())
	}
	if n.web != nil {
		errs = append(errs, n.web.Close())
	}
	errs = append(errs, n.pool.Close())
	n.workers.Wait()
	return errors.Join(errs...)
}
