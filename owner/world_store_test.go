package owner_test

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// write is a conditional write of a proposal to the store, on its way.
type write struct {
	proposal *atlas.Table
	at       time.Time
	lost     bool
	done     bool
	outcome  owner.Outcome
	// repeated is set when an earlier attempt had no answer: a refusal of this one
	// does not show that nothing was written.
	repeated bool
}

// finishWrite reports the result of its write to a daemon, as the daemon's own
// code does: a write without an answer is repeated until its result is known.
func (w *simulation) finishWrite(d *daemon) {
	p := d.pendingWrite
	if p == nil || !p.done {
		return
	}
	if p.outcome == owner.Unknown || (p.outcome == owner.Refused && p.repeated) {
		d.pendingWrite = &write{
			proposal: p.proposal, at: w.now.Add(w.delay(200)), lost: w.rng.IntN(3) == 0, repeated: true,
		}
		return
	}
	d.pendingWrite = nil
	if p.outcome == owner.Lost {
		w.races++
		w.readStore(d)
	}
	d.machine.RecordOutcome(w.now, p.proposal, p.outcome)
}

// applyWrites applies the writes that have reached the store.
func (w *simulation) applyWrites() {
	for _, d := range w.daemons {
		p := d.pendingWrite
		if p == nil || p.done || w.now.Before(p.at) {
			continue
		}
		if !w.storeUp(d) {
			p.done, p.outcome = true, owner.Refused
			if w.rng.IntN(2) == 0 {
				p.outcome = owner.Unknown
			}
			continue
		}
		p.done, p.outcome = true, w.apply(p.proposal)
		if p.lost {
			p.outcome = owner.Unknown
		}
		if w.rng.IntN(15) == 0 {
			// The store may receive the same write again much later.
			w.delayedWrites = append(w.delayedWrites, &write{proposal: p.proposal, at: w.now.Add(w.delay(3000))})
		}
	}
	for i, p := range w.delayedWrites {
		if p != nil && !w.now.Before(p.at) {
			w.apply(p.proposal)
			w.delayedWrites[i] = nil
		}
	}
}

func (w *simulation) apply(t *atlas.Table) owner.Outcome {
	by, number := t.Writer()
	newestBy, newestNumber := w.newest.Writer()
	if w.rules.restores {
		return w.applyInEra(t)
	}
	switch {
	case t.Version() == w.newest.Version()+1, w.rules.unconditionalWrites && t.Version() > w.newest.Version()-3:
		if w.rules.unconditionalWrites {
			t = withVersion(t, w.newest.Version()+1)
		}
		w.newest = t
		return owner.Written
	case t.Version() == w.newest.Version() && by == newestBy && number == newestNumber:
		return owner.Written
	}
	return owner.Lost
}

// withVersion returns a copy of a table with another version.
func withVersion(t *atlas.Table, version uint64) *atlas.Table {
	data, err := t.Encode()
	if err != nil {
		panic(err)
	}
	n, err := atlas.Decode(version, data)
	if err != nil {
		panic(err)
	}
	return n
}
