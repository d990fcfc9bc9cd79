package owner_test

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// tableDocument is the name of the table in the versions of gossip entries.
const tableDocument = "table"

// storedTable is a record of the store. Its era is that of the writer, as in the key of the
// record, which may be earlier than the era in which the store took it.
type storedTable struct {
	table *atlas.Table
	at    time.Time
}

// restore replaces the contents of the store by those of a copy that is up to 4 s old, and
// takes the store away for a moment.
func (w *simulation) restore() {
	copied := w.now.Add(-w.delay(4000))
	kept := 0
	for kept < len(w.records) && w.records[kept].at.Before(copied) {
		kept++
	}
	if w.rng.IntN(12) == 0 {
		kept = 0
	}
	w.records = append([]storedTable(nil), w.records[:kept]...)
	if !w.rules.sameEra {
		w.era++
	}
	w.storeDownUntil = w.now.Add(w.delay(1000))
	w.updateNewest()
	if w.rng.IntN(3) > 0 {
		return
	}
	// All daemons are killed around the restore.
	for _, d := range w.daemons {
		d.up, d.restartAt = false, w.now.Add(w.delay(1500))
	}
}

// applyInEra applies a write to a store that may have been restored since it was sent. The
// condition of the write names an offset only, which may fit by chance.
func (w *simulation) applyInEra(t *atlas.Table) owner.Outcome {
	by, number := t.Writer()
	newestBy, newestNumber := w.newest.Writer()
	if t.Era() == w.era && t.Version() == w.newest.Version() && by == newestBy && number == newestNumber {
		return owner.Written
	}
	if store.Index(t.Version()-1) != uint64(len(w.records)) {
		return owner.Lost
	}
	w.records = append(w.records, storedTable{t, w.now})
	w.updateNewest()
	if t.Era() != w.era {
		return owner.Lost
	}
	return owner.Written
}

// updateNewest sets the table that readers of the store get: the newest of the highest era,
// as the version at the end of the topic if it is of the present one.
func (w *simulation) updateNewest() {
	w.newest = atlas.New(service)
	for i, r := range w.records {
		if r.table.Era() >= w.newest.Era() {
			w.newest = r.table.At(store.NewOffset(r.table.Era(), uint64(i)) + 1)
		}
	}
	if w.newest.Era() == w.era {
		w.newest = w.newest.At(w.storeEnd())
	}
}

// storeEnd returns the offset at which the topic ends.
func (w *simulation) storeEnd() uint64 { return store.NewOffset(w.era, uint64(len(w.records))) }

// readStore lets a daemon read the store.
func (w *simulation) readStore(d *daemon) {
	if w.rules.restores {
		d.machine.RecordStoreEnd(w.now, w.storeEnd())
	}
	d.machine.Read(w.now, w.newest)
}

// fetchFromPeer lets a daemon learn the era and the table of another one, by gossip.
func (w *simulation) fetchFromPeer(d *daemon) {
	o := w.daemons[w.rng.IntN(len(w.daemons))]
	if o == d || !w.runs(o) || !w.reaches(d, o) || !o.machine.Known() {
		return
	}
	d.machine.RecordEra(w.now, o.machine.Era())
	if o.machine.Table().Version() > d.machine.Table().Version() {
		d.machine.Read(w.now, o.machine.Table())
	}
}
