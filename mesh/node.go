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
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/peers"
	"github.com/monsoonmoor/monsoonmoor/plan"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/sched"
	"github.com/monsoonmoor/monsoonmoor/steer"
	"github.com/monsoonmoor/monsoonmoor/store"
	"github.com/monsoonmoor/monsoonmoor/strain"
	"github.com/monsoonmoor/monsoonmoor/upconn"
	"github.com/monsoonmoor/monsoonmoor/vhost"
)

const (
	// tickTime is the time between two looks at leases, members and moves.
	tickTime = 100 * time.Millisecond
	// heatTime is the time between two readings of the keys' load.
	heatTime = 250 * time.Millisecond
)

// Node is the daemon beside one upstream.
type Node struct {
	settings Settings
	ports    Ports
	clock    clockwork.Clock
	log      logr.Logger
	scope    tally.Scope
	counts   counts
	self     ident.Incarnation

	plans   *vhost.Holder
	gate    *sched.Gate
	pool    *upconn.Pool
	web     *peers.Web
	socket  *gossip.Socket
	router  *steer.Router
	budget  *steer.Budget
	heat    *plan.Heat
	fleet   *plan.Heat
	waits   *waits
	returns *sched.Returns
	strain  *strain.Meter
	// flights and quarantine find the calls that crash upstreams.
	flights    *flights
	quarantine *poison.Quarantine

	// mu guards what the daemon believes of the fleet, the leases and the keys.
	mu       sync.Mutex
	state    *gossip.State
	witness  *lease.Witness
	machine  *owner.Machine
	tables   map[ident.Service]*table
	desk     desk
	changed  chan struct{}
	stopping bool
	// applied are the newest settings; settings stay those of the start.
	applied Settings

	followers []*store.Follower
	fetching  sync.Map
	configRaw atomic.Pointer[document]
	ready     atomic.Bool
	kicks     chan struct{}
	// doubts asks for a look at the upstream.
	doubts chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

var (
	_ calls.Executor   = (*Node)(nil)
	_ peers.WebHandler = (*peerSide)(nil)
	_ steer.Directory  = (*Node)(nil)
)

// New starts a node. Its error wraps ErrSettings for bad settings.
func New(settings Settings, ports Ports, opts ...Option) (*Node, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, applied: settings, ports: ports,
		clock: clockwork.NewRealClock(), log: logr.Discard(), scope: tally.NoopScope,
		plans: vhost.NewHolder(), heat: plan.NewHeat(), fleet: plan.NewHeat(), returns: sched.NewReturns(), strain: strain.New(),
		tables: make(map[ident.Service]*table), changed: make(chan struct{}),
		kicks: make(chan struct{}, 1), doubts: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.waits = newWaits(n.clock)
	n.counts = newCounts(n.scope)
	now := n.clock.Now()
	n.self = ident.NewIncarnation(settings.Host, uint64(now.UnixMilli()))
	n.log = n.log.WithValues("host", string(settings.Host))
	n.build(now)
	if err := n.open(); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	n.start()
	return n, nil
}

// build makes the parts that do no input or output.
func (n *Node) build(now time.Time) {
	s := n.settings
	n.state = gossip.NewState(gossip.Entry{
		Inc: n.self, Addr: s.Peers, Zone: s.Zone, Service: s.Service,
	}, gossip.DefaultTimings(), n.self.Boot)
	n.seed(now, s.Seeds)
	n.witness = lease.NewWitness(n.self, s.terms(), now)
	n.gate = sched.NewGate(n.clock)
	n.pool = upconn.New(s.Upstream, n.ports.Dialect, upconn.WithClock(n.clock), upconn.WithLogger(n.log),
		upconn.WithScope(n.scope), upconn.WithDown(n.upstreamDown))
	n.budget = steer.NewBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	n.desk = newDesk(s.answerHold())
	n.flights, n.quarantine = newFlights(), newQuarantine(n)
}

// seed adds addresses where other daemons may be.
func (n *Node) seed(now time.Time, addrs []string) {
	for _, addr := range addrs {
		n.state.Seed(now, ident.NewIncarnation(ident.Host("seed-"+addr), 0), addr)
	}
}

// open opens the sockets.
func (n *Node) open() error {
	var err error
	n.web, err = peers.ListenWeb(n.settings.Peers, nil, &peerSide{n}, peers.WithWebClock(n.clock),
		peers.WithWebLogger(n.log), peers.WithWaits(n.waits.learn))
	if err != nil {
		return err
	}
	n.router = steer.New(n, &local{node: n}, n.web, steer.WithClock(n.clock), steer.WithLogger(n.log),
		steer.WithScope(n.scope), steer.WithBudget(n.budget))
	n.socket, err = gossip.Listen(n.settings.Peers, n.take, n.log)
	if err != nil {
		return fmt.Errorf("open socket for peers: %w", err)
	}
	return nil
}

// start starts the duties.
func (n *Node) start() {
	n.followConfig()
	n.run(n.announce)
	n.run(func() { n.every(gossip.DefaultTimings().Interval, n.gossip) })
	n.run(n.think)
	n.run(func() { n.every(heatTime, n.measure) })
	n.run(n.watchUpstream)
	n.run(n.watchStrain)
	n.run(n.watchConfig)
}

func (n *Node) run(duty func()) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		duty()
	}()
}

// every calls f at the given interval until the node ends.
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

// Run implements calls.Executor for callers of this daemon. The call's deadline is
// the caller's; it is brought forward to the route's timeout here.
func (n *Node) Run(ctx context.Context, call *calls.Call) (*calls.Reply, error) {
	now := n.clock.Now()
	if call.Ordered {
		n.fleet.Touch(call.Point)
	}
	asked, fingerprint := call.Deadline, poison.Fingerprint(call, prefixOf(call))
	begun := n.returns.Begun(now, fingerprint, asked)
	call.Terms.Spent = now.Sub(begun)
	if t := call.Terms.Timeout; t > 0 && t < asked.Sub(now) {
		call.Deadline = now.Add(t)
	}
	reply, err := n.router.Run(ctx, call)
	if err != nil {
		n.returns.Failed(fingerprint, begun, asked)
	}
	n.counts.count(n.clock.Now().Sub(now), reply, err)
	return reply, err
}

// Plan returns the configuration in force.
func (n *Node) Plan() *vhost.Plan { return n.plans.Plan() }

// Ready reports whether callers should use this daemon: it knows where calls go,
// does not end, and has the processor time that they need.
func (n *Node) Ready() bool { return n.ready.Load() && !n.strain.Strained() }

// kick makes the daemon look at its leases, members and moves now.
func (n *Node) kick() {
	select {
	case n.kicks <- struct{}{}:
	default:
	}
}

// notify tells waiting calls that places or targets have changed. It is called
// with mu held.
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

// Close ends the node at once. Calls in flight are cut.
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
	n.duties.Wait()
	return errors.Join(errs...)
}
