package mesh

import (
	"context"
	"strconv"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// After a restore of the store from a copy, records that were written since the copy are
// gone, and their offsets are given out again. The versions of an ownership table and its
// fencing tokens rise all the same, since they include the era of the store. A table is
// stored under a key of its era: a write from before the restore that takes effect late
// is told apart by its key.

// eraDocument is the name under which gossip entries show the era of the store.
const eraDocument = "era"

// keyInEra returns the key of a table that is written in an era.
func keyInEra(era uint64) string {
	if era == 0 {
		return tableKey
	}
	return tableKey + "." + strconv.FormatUint(era, 10)
}

// eraOfKey returns the era in which the table under a key was written; ok is false if it
// is the key of no table.
func eraOfKey(key string) (era uint64, ok bool) {
	if key == tableKey {
		return 0, true
	}
	digits, ok := strings.CutPrefix(key, tableKey+".")
	if !ok {
		return 0, false
	}
	era, err := strconv.ParseUint(digits, 10, 64)
	return era, err == nil && era > 0 && era <= store.MaxEra
}

// tableVersion returns the version of the table in a record; ok is false if the record
// holds none. A table of an earlier era has kept its index over the restore.
func tableVersion(item store.Item) (version uint64, ok bool) {
	era, ok := eraOfKey(item.Key)
	if !ok || era > store.Era(item.Offset) {
		return 0, false
	}
	return store.NewOffset(era, store.Index(item.Offset)) + 1, true
}

// isLate reports whether a record with a table of an earlier era follows the first table of
// the present one: its write took effect after the restore.
func (n *Node) isLate(service ident.Service, version uint64, item store.Item) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	era := store.Era(item.Offset)
	t := n.tables[service]
	return t != nil && t.current.Era() == era && store.Era(version) < era && item.Offset >= t.current.Version()
}

// observeEra records the era of the store. A rise means that the store was restored from a
// copy: this daemon's own records may be lost, and the ownership tables must be written
// again.
func (n *Node) observeEra(era uint64, source string) {
	now := n.clock.Now()
	n.mu.Lock()
	before := n.era
	if era <= before {
		n.mu.Unlock()
		return
	}
	n.era = era
	if n.machine != nil {
		n.machine.RecordEra(now, era)
	}
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.documentVersions() })
	started := n.configRaw.Load() != nil
	n.rewriting = started
	n.mu.Unlock()
	if !started {
		n.log.Info("era of the store", "era", era, "source", source)
		return
	}
	n.metrics.restores.Inc(1)
	n.log.Info("store restored from a copy", "era", era, "before", before, "source", source,
		"written_again", "presence, quarantined calls, ownership table")
	n.broadcastState()
	n.spawn(n.announce)
	n.spawn(func() { n.rereadEvacuations(era) })
	n.queueQuarantined(n.quarantine.ReportBlocked(n.settings.Service))
	n.requestReconcile()
}

// storeEra returns the era of the store.
func (n *Node) storeEra() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.era
}

// recordStoreEnd records that the topic of a table ends at an offset or later.
func (n *Node) recordStoreEnd(service ident.Service, end uint64) {
	n.observeEra(store.Era(end), "table")
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine != nil && service == n.settings.Service {
		n.machine.RecordStoreEnd(n.clock.Now(), end)
	}
}

// readTableEnd reads the newest table and the end of its topic from the store, unless that
// is being done already.
func (n *Node) readTableEnd(service ident.Service) {
	if n.readingEnd.Swap(true) {
		return
	}
	n.spawn(func() {
		defer n.readingEnd.Store(false)
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		timer := n.clock.AfterFunc(storeTimeout, cancel)
		defer timer.Stop()
		if _, ok := n.newestTable(ctx, service); !ok {
			n.clock.Sleep(minRetryDelay)
		}
		n.requestReconcile()
	})
}
