package mesh

import (
	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// The version of an ownership table is the end of its topic after it was written, and
// each write is conditional on it. A record of another writer moves the end on without
// changing the owners, so the daemons take the table that precedes it for the version
// that follows it. Otherwise no write would succeed any more.

// receiveStored installs the table in a record of the store. A record that holds no
// table counts as a version without changes.
func (n *Node) receiveStored(service ident.Service, item store.Item) {
	n.recordStoreEnd(service, item.Offset+1)
	version, ok := tableVersion(item)
	if !ok || n.isLate(service, version, item) {
		n.skipRecord(service, item.Offset+1, false, "key "+item.Key)
		return
	}
	next, err := atlas.Decode(version, item.Value)
	if err != nil {
		n.skipRecord(service, version, true, err.Error())
		return
	}
	n.mu.Lock()
	if t := n.tables[service]; t != nil && version > t.stored {
		t.stored, t.unreadable = version, false
	}
	n.installTable(service, next, item.Value)
	n.mu.Unlock()
	n.requestReconcile()
}

// skipRecord installs the current table as the version that a record without a table
// has made, if the record follows the current version directly. If it doesn't, versions
// in between are unknown, and the daemon waits for one from a peer or the store. If
// replaces is set, the record has replaced the newest table in the store.
func (n *Node) skipRecord(service ident.Service, version uint64, replaces bool, why string) {
	n.mu.Lock()
	t := n.tables[service]
	known := t != nil && t.loaded && t.current.Version()+1 == version
	if known {
		n.repeatTable(t, version)
	} else if t != nil && !t.loaded && replaces {
		t.unreadable = true
	}
	n.mu.Unlock()
	n.log.Info("record without an ownership table", "service", string(service), "version", version, "why", why, "follows_known", known)
	n.requestReconcile()
}

// handleSnapshotEnd installs the newest table in the store as the version at the end of
// the topic: the records after it hold no table, since a later one would be the newest.
func (n *Node) handleSnapshotEnd(service ident.Service, end uint64) {
	n.recordStoreEnd(service, end)
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.tables[service]
	if t == nil || store.Era(end) != t.current.Era() || t.unreadable || end <= t.current.Version() || t.stored != t.current.Version() {
		return
	}
	n.repeatTable(t, end)
}

// repeatTable installs the current table as a later version. It is called with mu held.
func (n *Node) repeatTable(t *table, version uint64) {
	next := t.current.At(version)
	data, err := next.Encode()
	if err != nil {
		n.log.Error(err, "ownership table not encoded", "version", version)
		return
	}
	t.stored = version
	n.installTable(t.service, next, data)
}
