package upsim

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// FenceError reports a request whose fencing token is not granted.
type FenceError struct {
	Slot  ident.Slot
	Epoch ident.Epoch
	// Why is the reason in a few words.
	Why string
	// Newer reports a token above every one that was granted.
	Newer bool
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("slot %d epoch %d: %s", e.Slot, e.Epoch, e.Why)
}

// grants holds the fencing tokens that the daemon has granted. It is not safe
// for concurrent use.
type grants struct {
	revision uint64
	spans    []grant.Span
	expires  time.Time
	// highest is the highest epoch ever granted for a slot.
	highest map[ident.Slot]ident.Epoch
}

func newGrants() *grants {
	return &grants{highest: make(map[ident.Slot]ident.Epoch)}
}

// take puts the answer to the announcement that was sent at sent in force.
func (g *grants) take(sent time.Time, answer grant.Grants) {
	g.expires = sent.Add(time.Duration(answer.ValidMillis) * time.Millisecond)
	if answer.Unchanged && answer.Revision == g.revision {
		return
	}
	g.revision = answer.Revision
	g.spans = answer.Spans
	for _, span := range g.spans {
		for slot := span.First; slot <= span.Last && len(g.highest) < maxSlots; slot++ {
			g.highest[slot] = max(g.highest[slot], span.Epoch)
		}
	}
}

// maxSlots bounds the slots that are remembered.
const maxSlots = 1 << 20

// check returns a *FenceError unless the token is granted at now.
func (g *grants) check(now time.Time, slot ident.Slot, epoch ident.Epoch) error {
	highest := g.highest[slot]
	switch {
	case epoch < highest:
		return &FenceError{Slot: slot, Epoch: epoch, Why: fmt.Sprintf("epoch %d was granted since", highest)}
	case !now.Before(g.expires):
		return &FenceError{Slot: slot, Epoch: epoch, Why: "grant expired"}
	case !g.holds(slot, epoch):
		return &FenceError{Slot: slot, Epoch: epoch, Why: "not granted", Newer: epoch > highest}
	}
	return nil
}

func (g *grants) holds(slot ident.Slot, epoch ident.Epoch) bool {
	for _, span := range g.spans {
		if span.First <= slot && slot <= span.Last && span.Epoch == epoch {
			return true
		}
	}
	return false
}
