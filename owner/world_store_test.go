package owner_test

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// pending is a write on its way.
type pending struct {
	proposal *atlas.Table
	at       time.Time
	lost     bool
	done     bool
	outcome  owner.Outcome
}

// settle tells a daemon what became of its write, as the daemon's own code does:
// a write without answer is repeated until it is known.
func (w *world) settle(d *daemon) {
	p := d.writing
	if p == nil || !p.done {
		return
	}
	if p.outcome == owner.Unknown {
		d.writing = &pending{proposal: p.proposal, at: w.now.Add(w.delay(200)), lost: w.rng.IntN(3) == 0}
		return
	}
	d.writing = nil
	if p.outcome == owner.Lost {
		w.races++
		d.machine.Read(w.now, w.newest)
	}
	d.machine.Settled(w.now, p.proposal, p.outcome)
}

// storeStep carries out the writes that have arrived.
func (w *world) storeStep() {
	for _, d := range w.daemons {
		p := d.writing
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
			// The same write may arrive once more, much later.
			w.late = append(w.late, &pending{proposal: p.proposal, at: w.now.Add(w.delay(3000))})
		}
	}
	for i, p := range w.late {
		if p != nil && !w.now.Before(p.at) {
			w.apply(p.proposal)
			w.late[i] = nil
		}
	}
}

func (w *world) apply(t *atlas.Table) owner.Outcome {
	by, number := t.Writer()
	newestBy, newestNumber := w.newest.Writer()
	switch {
	case t.Version() == w.newest.Version()+1, w.rules.unconditional && t.Version() > w.newest.Version()-3:
		if w.rules.unconditional {
			t = renumbered(t, w.newest.Version()+1)
		}
		w.newest = t
		return owner.Written
	case t.Version() == w.newest.Version() && by == newestBy && number == newestNumber:
		return owner.Written
	}
	return owner.Lost
}

// renumbered returns a table as if it had another version.
func renumbered(t *atlas.Table, version uint64) *atlas.Table {
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
