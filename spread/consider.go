package spread

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Accept returns how many slots of an offer the member accepts, counted from the front of its list, so that
// the member's load stays below the sender's. sender is nil when the sender's load is unknown. Accepted slots
// count toward the member's load at once, before the measured load reflects them.
func (p *Planner) Accept(now time.Time, own wire.Load, offer wire.Offer, sender *wire.Load) uint32 {
	if !acceptsSlots(own, offer.Service) || len(offer.Slots) == 0 {
		return 0
	}
	n := len(offer.Slots)
	if own.Cold {
		n = min(n, coldOffer)
	}
	if offer.Rate > 0 {
		n = p.limitByLoad(now, own, offer, sender, n)
	} else {
		n = p.limitByCount(now, own, sender, n)
	}
	if n > 0 {
		p.pendingIn.add(now, offer.Rate*float64(n)/float64(len(offer.Slots)), n)
	}
	return uint32(n)
}

// limitByLoad returns how many of n slots the member can accept while its pressure stays below the sender's, or
// below unknownPressure when the sender's load is unknown.
func (p *Planner) limitByLoad(now time.Time, own wire.Load, offer wire.Offer, sender *wire.Load, n int) int {
	perSlot := offer.Rate / float64(len(offer.Slots))
	measured := own
	if own.Rate <= 0 && sender != nil {
		measured = *sender
	}
	perOwn := perRequest(measured, own.Limit)
	ownPressure := Pressure(own) + p.pendingIn.rate(now)*perOwn
	headroom, cost := unknownPressure-ownPressure, perSlot*perOwn
	if sender != nil {
		headroom = Pressure(*sender) - ownPressure
		cost = perSlot * (perOwn + perRequest(measured, sender.Limit))
	}
	if own.Cold {
		headroom = min(headroom, coldPressure-ownPressure)
	}
	switch {
	case headroom <= 0:
		return 0
	case cost <= 0:
		return n
	}
	return int(min(float64(n), headroom/cost))
}

// limitByCount returns how many of n slots the member can accept while its number of owned slots, relative to its
// concurrency limit, stays below the sender's.
func (p *Planner) limitByCount(now time.Time, own wire.Load, sender *wire.Load, n int) int {
	if sender == nil || sender.Limit <= 0 {
		return n
	}
	mine := (float64(own.Owned) + float64(p.pendingIn.slots(now))) / own.Limit
	room := float64(sender.Owned)/sender.Limit - mine
	if room <= 0 {
		return 0
	}
	return int(min(float64(n), room/(1/own.Limit+1/sender.Limit)))
}
