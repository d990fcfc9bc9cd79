package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/spread"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// balanceInterval is the time between two rounds of load decisions.
	balanceInterval = time.Second
	// balanceProbes is the number of random peers asked for their load.
	balanceProbes = 2
	// balancePending is the number of control messages that wait.
	balancePending = 64
	// awaitTime is the time within which accepted slots arrive.
	awaitTime = 30 * time.Second
)

// balanceHost is what the balancer needs of the daemon.
type balanceHost interface {
	// members returns the other live members of the daemon's service.
	members() []table.Member
	// load returns what the daemon measures of its upstream.
	load() wire.Load
	// rates returns the load of each slot that the daemon serves.
	rates() []spread.Rate
	// hot ends a measuring interval and returns the key hashes that deserve a
	// slot of their own.
	hot(now time.Time) []uint64
	// send delivers a control message, or loses it.
	send(to ident.Incarnation, message wire.Message)
	// order tells the decision code.
	order(in core.Input)
}

// balanceInput is a peer's message, slots that were gained, a planner for new
// settings, or none of these when a round begins.
type balanceInput struct {
	message wire.Message
	gained  []ident.Slot
	planner *spread.Planner
}

// balancer moves load between the members of a service. Each round it asks two
// random peers and offers slots to the lighter.
type balancer struct {
	host    balanceHost
	planner *spread.Planner
	clock   clockwork.Clock
	inputs  *ring.Ring[balanceInput]
	nonce   uint64
	peers   map[ident.Incarnation]wire.Load
	asked   int
	offered *spread.Offer
	// awaited holds the slots that were accepted and have not arrived, with
	// the time until which they are expected.
	awaited map[ident.Slot]time.Time
}

// newBalancer starts the balancer; it ends with ctx. Messages beyond its ring
// discard the oldest.
func newBalancer(ctx context.Context, host balanceHost, clock clockwork.Clock) *balancer {
	b := &balancer{
		host:    host,
		planner: spread.New(),
		clock:   clock,
		inputs:  ring.NewDropping[balanceInput](balancePending),
		peers:   make(map[ident.Incarnation]wire.Load),
		awaited: make(map[ident.Slot]time.Time),
	}
	ticks := clock.NewTicker(balanceInterval)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks.Chan():
				b.inputs.Put(balanceInput{})
			}
		}
	}()
	go func() {
		for {
			in, err := b.inputs.Get(ctx)
			if err != nil {
				return
			}
			b.handle(in)
		}
	}()
	return b
}

// take passes a peer's message to the balancer.
func (b *balancer) take(message wire.Message) {
	b.inputs.Put(balanceInput{message: message})
}

// gain tells the balancer which slots the daemon has begun to serve.
func (b *balancer) gain(slots []ident.Slot) {
	b.inputs.Put(balanceInput{gained: slots})
}

// follow makes the balancer use a planner for new settings.
func (b *balancer) follow(planner *spread.Planner) {
	b.inputs.Put(balanceInput{planner: planner})
}

func (b *balancer) handle(in balanceInput) {
	message := in.message
	switch {
	case in.planner != nil:
		b.planner = in.planner
	case len(in.gained) > 0:
		b.arrived(in.gained)
	case message.Pong != nil:
		b.answer(message)
	case message.Offer != nil:
		b.consider(message)
	case message.Answer != nil:
		b.answered(message)
	default:
		b.round()
	}
}

// round orders pins and asks for the loads to decide on. When not all of those
// asked in the last round have answered, it decides by the others.
func (b *balancer) round() {
	for _, hash := range b.host.hot(b.clock.Now()) {
		b.host.order(core.PinOrder{Service: b.host.load().Service, Hash: hash})
	}
	if len(b.peers) < b.asked {
		b.plan()
	}
	b.probe()
}

// answer notes a peer's load. With the last one it decides at once, so that
// loads of one moment are compared: while load rises everywhere an older one
// would make the peer look lighter than it is.
func (b *balancer) answer(message wire.Message) {
	if message.Pong.Nonce != b.nonce || len(b.peers) == b.asked {
		return
	}
	b.peers[message.From] = message.Pong.Load
	if len(b.peers) == b.asked {
		b.plan()
	}
}

func (b *balancer) plan() {
	if len(b.peers) == 0 {
		return
	}
	sampled := make([]spread.Peer, 0, len(b.peers))
	for inc, load := range b.peers {
		sampled = append(sampled, spread.Peer{Inc: inc, Load: load})
	}
	own := b.host.load()
	offer, ok := b.planner.Plan(b.clock.Now(), own, b.host.rates(), sampled)
	if !ok {
		return
	}
	b.offered = &offer
	b.host.send(offer.To(), wire.Message{Offer: &wire.Offer{
		Nonce:   b.nonce,
		Service: own.Service,
		Slots:   offer.Slots(),
		Rate:    offer.Rate(),
		Load:    own,
	}})
}

func (b *balancer) probe() {
	b.nonce++
	clear(b.peers)
	members := b.host.members()
	b.asked = min(balanceProbes, len(members))
	for _, i := range rand.Perm(len(members))[:b.asked] {
		b.host.send(members[i].Inc, wire.Message{Ping: &wire.Ping{Nonce: b.nonce}})
	}
}

func (b *balancer) consider(message wire.Message) {
	own := b.host.load()
	accepted := uint32(0)
	if own.Service == message.Offer.Service {
		accepted = b.planner.Accept(b.clock.Now(), own, *message.Offer, &message.Offer.Load)
		b.await(message.Offer.Slots[:accepted])
	}
	b.host.send(message.From, wire.Message{Answer: &wire.Answer{
		Nonce:    message.Offer.Nonce,
		Accepted: accepted,
	}})
}

// await notes slots that a peer moves here.
func (b *balancer) await(slots []ident.Slot) {
	now := b.clock.Now()
	maps.DeleteFunc(b.awaited, func(_ ident.Slot, until time.Time) bool { return !now.Before(until) })
	for _, slot := range slots {
		b.awaited[slot] = now.Add(awaitTime)
	}
}

// arrived has the planner leave slots alone that a peer has moved here. Slots
// that were claimed, taken over or renamed may move at once: all slots of a
// fleet that starts or has lost a member are such.
func (b *balancer) arrived(slots []ident.Slot) {
	var moved []ident.Slot
	for _, slot := range slots {
		if _, ok := b.awaited[slot]; ok {
			delete(b.awaited, slot)
			moved = append(moved, slot)
		}
	}
	b.planner.StartCooldown(b.clock.Now(), moved)
}

func (b *balancer) answered(message wire.Message) {
	offer := b.offered
	if offer == nil || offer.To() != message.From {
		return
	}
	b.offered = nil
	accepted := min(message.Answer.Accepted, uint32(len(offer.Slots())))
	b.planner.RecordAnswer(b.clock.Now(), *offer, accepted)
	if accepted == 0 {
		return
	}
	b.host.order(core.MoveOrder{
		Service: b.host.load().Service,
		Slots:   offer.Slots()[:accepted],
		To:      message.From,
	})
}
