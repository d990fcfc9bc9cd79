package hotkey

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// PinProposal is a proposal to give a key a slot of its own.
type PinProposal struct {
	slot ident.Slot
	hash uint64
	rate float64
}

// Slot returns the hash slot that the key belongs to.
func (p PinProposal) Slot() ident.Slot { return p.slot }

// Hash returns the key's hash.
func (p PinProposal) Hash() uint64 { return p.hash }

// Rate returns the guaranteed rate of the key, a lower bound in requests per
// second.
func (p PinProposal) Rate() float64 { return p.rate }

// hotThreshold returns the rate, in requests per second, from which a key is
// hot.
func (t *Tracker) hotThreshold() float64 {
	return max(t.minRate, t.share*t.Total())
}

// ProposePins returns at most room keys that should get a slot of their own, hottest
// first. A key qualifies when both it and the remaining load of its slot reach
// the hot threshold, so that the two can be served by different members. A hot
// key that is nearly alone in its slot needs no pin: moving the slot moves
// little else.
func (t *Tracker) ProposePins(room int) []PinProposal {
	if room <= 0 {
		return nil
	}
	hot, scale := t.hotThreshold(), t.scale()
	var pins []PinProposal
	for slot, s := range t.sketches() {
		if uint32(slot) >= t.slots {
			continue
		}
		hash, guaranteed, total := s.top()
		if guaranteed*scale >= hot && (total-guaranteed)*scale >= hot {
			pins = append(pins, PinProposal{slot: slot, hash: hash, rate: guaranteed * scale})
		}
	}
	slices.SortFunc(pins, func(a, b PinProposal) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.slot, b.slot))
	})
	return pins[:min(room, len(pins))]
}

// Releasable returns the pinned slots whose rate has stayed below
// releaseFraction of the hot threshold for the idle time. A slot's idle time
// starts at the first call that finds its rate that low.
func (t *Tracker) Releasable(now time.Time) []ident.Slot {
	releaseRate := t.hotThreshold() * releaseFraction
	rates := map[ident.Slot]float64{}
	for slot, rate := range t.Rates() {
		if uint32(slot) >= t.slots {
			rates[slot] = rate
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var releasable []ident.Slot
	for slot, rate := range rates {
		if rate >= releaseRate {
			delete(t.coldSince, slot)
			continue
		}
		since, ok := t.coldSince[slot]
		if !ok {
			t.coldSince[slot] = now
			continue
		}
		if now.Sub(since) >= t.idle {
			releasable = append(releasable, slot)
		}
	}
	slices.Sort(releasable)
	return releasable
}
