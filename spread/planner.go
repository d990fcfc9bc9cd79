package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// minGap is the smallest difference in pressure that justifies a move. It is about the change in pressure
	// that one more or one less request causes at a usual concurrency limit.
	minGap = 0.05
	// idlePressure is the pressure below which load is too low to compare. Members then balance the number of
	// their slots instead.
	idlePressure = 0.02
	// damping is the share of an imbalance that one offer corrects. It is below 1 because other members may
	// offer slots to the same peer at the same time.
	damping = 0.5
	// maxOffer is the maximum number of slots in one offer.
	maxOffer = 64
	// coldOffer is the maximum number of slots in one offer to a cold member.
	coldOffer = 8
	// coldPressure is the pressure up to which a cold member accepts slots.
	coldPressure = 0.5
	// unknownPressure is the pressure up to which a member accepts slots from a sender whose load is unknown.
	unknownPressure = 0.6
	// answerTimeout is the time after which an unanswered offer counts as declined.
	answerTimeout = 5 * time.Second
	// settleTime is the time until the measured load reflects a move.
	settleTime = 5 * time.Second
)

// Defaults of WithMoveBudget, WithHysteresis and WithCooldown.
const (
	defaultMoves      = 120
	defaultHysteresis = 0.2
	defaultCooldown   = 30 * time.Second
)

// Offer proposes to move slots to a peer.
type Offer struct {
	to    ident.Incarnation
	slots []ident.Slot
	rate  float64
}

// To returns the peer that the offer is addressed to.
func (o Offer) To() ident.Incarnation { return o.to }

// Slots returns the offered slots. The caller must not change the slice.
func (o Offer) Slots() []ident.Slot { return o.slots }

// Rate returns the load that the slots carry, in requests per second.
func (o Offer) Rate() float64 { return o.rate }

// Planner decides which slots one member offers to its peers and which it accepts. It is not safe for concurrent
// use.
type Planner struct {
	moves      float64
	hysteresis float64
	cooldown   time.Duration

	budget budget
	// answerDue is the time until which the member waits for the answer to its last offer; the zero time when
	// no offer is outstanding.
	answerDue time.Time
	cooldowns map[ident.Slot]time.Time
	// pendingIn holds accepted slots that the measured load does not reflect yet.
	pendingIn pendingMoves
	// pendingOut holds slots handed over to peers that the measured load still includes.
	pendingOut pendingMoves
}

// Option configures a Planner.
type Option func(*Planner)

// WithMoveBudget sets the maximum number of slots that the member hands over per minute.
func WithMoveBudget(perMinute int) Option { return func(p *Planner) { p.moves = float64(perMinute) } }

// WithHysteresis sets the imbalance up to which no slot moves, as a share of the less loaded member's load.
func WithHysteresis(share float64) Option { return func(p *Planner) { p.hysteresis = share } }

// WithCooldown sets how long a slot stays with the member after it has moved there.
func WithCooldown(d time.Duration) Option { return func(p *Planner) { p.cooldown = d } }

// New returns a planner with an empty history and a full budget of moves.
func New(opts ...Option) *Planner {
	p := &Planner{
		moves:      defaultMoves,
		hysteresis: defaultHysteresis,
		cooldown:   defaultCooldown,
		cooldowns:  map[ident.Slot]time.Time{},
	}
	for _, opt := range opts {
		opt(p)
	}
	p.budget = budget{perMinute: p.moves, remaining: p.moves}
	return p
}

// Plan returns an offer that reduces the load difference between the member and the less loaded of the sampled
// peers. It returns false when no slot should move or the last offer is still unanswered.
func (p *Planner) Plan(now time.Time, own wire.Load, rates []Rate, peers []Peer) (Offer, bool) {
	p.expireCooldowns(now)
	peer, ok := leastLoaded(own.Service, peers)
	if !ok || own.Limit <= 0 || now.Before(p.answerDue) {
		return Offer{}, false
	}
	limit := min(maxOffer, p.budget.available(now))
	if peer.Load.Cold {
		limit = min(limit, coldOffer)
	}
	if limit == 0 {
		return Offer{}, false
	}
	offer := Offer{to: peer.Inc}
	if Pressure(own) < idlePressure && Pressure(peer.Load) < idlePressure {
		offer.slots = p.balanceCount(own, peer.Load, rates, limit)
	} else {
		offer.slots, offer.rate = p.balanceLoad(now, own, peer.Load, rates, limit)
	}
	if len(offer.slots) == 0 {
		return Offer{}, false
	}
	p.answerDue = now.Add(answerTimeout)
	return offer, true
}

// RecordAnswer records how many slots of the last offer the peer accepted, counted from the front of its list.
func (p *Planner) RecordAnswer(now time.Time, offer Offer, accepted uint32) {
	p.answerDue = time.Time{}
	n := min(int(accepted), len(offer.slots))
	if n == 0 {
		return
	}
	p.budget.spend(now, n)
	p.pendingOut.add(now, offer.rate*float64(n)/float64(len(offer.slots)), n)
}

// StartCooldown starts the cool-down of slots that the member has become the owner of.
func (p *Planner) StartCooldown(now time.Time, slots []ident.Slot) {
	for _, slot := range slots {
		p.cooldowns[slot] = now.Add(p.cooldown)
	}
}

// expireCooldowns removes the cool-downs that have ended by now.
func (p *Planner) expireCooldowns(now time.Time) {
	for slot, until := range p.cooldowns {
		if !now.Before(until) {
			delete(p.cooldowns, slot)
		}
	}
}

// leastLoaded returns the peer with the lowest pressure among those that accept slots of the service. It prefers
// the one with fewer slots when the pressures are equal.
func leastLoaded(service ident.Service, peers []Peer) (Peer, bool) {
	var best Peer
	found := false
	for _, peer := range peers {
		pressure := Pressure(peer.Load)
		if !acceptsSlots(peer.Load, service) || peer.Load.Cold && pressure > coldPressure {
			continue
		}
		better := pressure < Pressure(best.Load) ||
			pressure == Pressure(best.Load) && peer.Load.Owned < best.Load.Owned
		if !found || better {
			best, found = peer, true
		}
	}
	return best, found
}

// movable returns the slots that are not in their cool-down, sorted by descending rate.
func (p *Planner) movable(rates []Rate) []Rate {
	free := make([]Rate, 0, len(rates))
	for _, r := range rates {
		if _, cooling := p.cooldowns[r.Slot]; !cooling {
			free = append(free, r)
		}
	}
	slices.SortFunc(free, func(a, b Rate) int {
		if c := cmp.Compare(b.PerSecond, a.PerSecond); c != 0 {
			return c
		}
		return cmp.Compare(a.Slot, b.Slot)
	})
	return free
}

// balanceLoad picks slots that correct the damping share of the difference in pressure, those with the highest
// rate first so that few slots move, and returns them with their total rate. A slot that carries the whole
// difference or more stays: moving it would only move the imbalance to the peer. The member hands over its other
// slots instead.
func (p *Planner) balanceLoad(now time.Time, own, peer wire.Load, rates []Rate, limit int) ([]ident.Slot, float64) {
	perOwn, perPeer := perRequest(own, own.Limit), perRequest(own, peer.Limit)
	ownPressure := Pressure(own) - p.pendingOut.rate(now)*perOwn
	peerPressure := Pressure(peer)
	if perOwn == 0 || ownPressure <= peerPressure*(1+p.hysteresis) || ownPressure-peerPressure < minGap {
		return nil, 0
	}
	fullGap := (ownPressure - peerPressure) / (perOwn + perPeer)
	targetRate := fullGap * damping
	var picked []ident.Slot
	rate := 0.0
	for _, r := range p.movable(rates) {
		if len(picked) == limit || rate >= targetRate || r.PerSecond <= 0 {
			break
		}
		if rate+r.PerSecond > targetRate && (rate > 0 || r.PerSecond >= fullGap) {
			continue
		}
		picked = append(picked, r.Slot)
		rate += r.PerSecond
	}
	return picked, rate
}

// balanceCount returns the slots with the lowest rate that correct the damping share of the difference in the
// number of owned slots relative to the concurrency limit.
func (p *Planner) balanceCount(own, peer wire.Load, rates []Rate, limit int) []ident.Slot {
	mine, theirs := float64(own.Owned)/own.Limit, float64(peer.Owned)/peer.Limit
	if mine <= theirs*(1+p.hysteresis) {
		return nil
	}
	free := p.movable(rates)
	n := int((mine - theirs) / (1/own.Limit + 1/peer.Limit) * damping)
	n = min(n, limit, len(free))
	picked := make([]ident.Slot, 0, n)
	for _, r := range free[len(free)-n:] {
		picked = append(picked, r.Slot)
	}
	return picked
}
