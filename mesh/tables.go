package mesh

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
)

const (
	// tableTopic is the prefix of the topic of an ownership table; the name of the
	// service follows.
	tableTopic = "table."
	// tableKey is the key of the table in its topic; a dot and the era of the store
	// follow, unless the era is 0.
	tableKey = "table"
	// tablePollTimeout is how long a read waits for a change of a table, and
	// tableMinInterval the least time between two reads: daemons announce changes to
	// each other at once, so that the store is only a second source.
	tablePollTimeout = 8 * time.Second
	tableMinInterval = 400 * time.Millisecond
	// tableReaders is the number of daemons that follow a table in the store; they
	// inform the others.
	tableReaders = 2
	// conflictWait is how long a writer whose write conflicted waits for the
	// announcement of the version that won before it reads the store.
	conflictWait = 120 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// minFetchInterval is the least time between two fetches of a table that does not
	// concern this daemon.
	minFetchInterval = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a document from a peer.
	fetchTimeout = 800 * time.Millisecond
	// broadcastLimit is the size of a fleet up to which a new table version is urgent
	// for every daemon. In a larger fleet it is announced to the daemons of the service
	// only, as urgent to those whose keys have changed; the others learn of it by
	// gossip.
	broadcastLimit = 24
)

// document is an encoded document that peers may request.
type document struct {
	data    []byte
	version uint64
}

// table is this daemon's copy of the ownership table of one service, and the newer
// versions that peers have announced.
type table struct {
	service  ident.Service
	current  *atlas.Table
	encoded  document
	loaded   bool
	follower *store.Follower
	// stored is the version of the last table that was read from the store.
	stored uint64
	// unreadable is set when the store's newest table can't be decoded, so that a
	// daemon that has no other version does not know the owners.
	unreadable bool
	// announced is the highest version that a peer has announced, announcedBy the
	// address of that peer, and fetchedAt when a version was last requested.
	announced   uint64
	announcedBy string
	fetchedAt   time.Time
	// urgent is the highest version that was announced as one that concerns this
	// daemon.
	urgent uint64
}

// topicOf returns the topic of a service's table.
func topicOf(service ident.Service) string { return tableTopic + string(service) }

// ensureTable returns the table of a service, and starts to follow it when called for
// the first time. It is called with mu held.
func (n *Node) ensureTable(service ident.Service) *table {
	if t, ok := n.tables[service]; ok {
		return t
	}
	t := &table{service: service, current: atlas.New(service)}
	n.tables[service] = t
	if service == n.settings.Service && n.machine == nil {
		opts := []owner.Option{
			owner.WithTerms(n.settings.leaseTerms()), owner.WithHold(n.settings.grantLength()),
			owner.WithHeat(n.upstreamKeyRates, n.callerKeyRates), owner.WithSeed(n.self.Boot),
			owner.WithDocument(topicOf(service)),
		}
		if n.settings.FirstStart {
			opts = append(opts, owner.WithFirstStart())
		}
		if n.settings.GrantsByCall {
			opts = append(opts, owner.WithCalls())
		}
		n.machine = owner.New(n.self, service, n.clock.Now(), opts...)
		n.machine.RecordEra(n.clock.Now(), n.era)
		n.machine.SetEvacuated(n.upstream.evacuated)
		n.replayHeartbeat()
	}
	t.follower = store.Follow(n.ports.Store, topicOf(service),
		func(item store.Item) { n.receiveStored(service, item) },
		store.WithSnapshotCallback(func(s store.Snapshot) { n.handleSnapshotEnd(service, s.End) }),
		store.WithClock(n.clock), store.WithLogger(n.log), store.WithPollInterval(tablePollTimeout, tableMinInterval),
		store.WithSyncCallback(func(ok bool) { n.handleTableSynced(service, ok) }),
		store.WithEnabled(func() bool { return n.isTableReader(service) }))
	return t
}

// isTableReader reports whether this daemon is one of those that follow a service's
// table in the store.
func (n *Node) isTableReader(service ident.Service) bool {
	if service != n.settings.Service {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := 0
	for _, e := range n.state.Live(n.clock.Now()) {
		if e.Inc.Host == n.settings.Host {
			break
		}
		if e.Service == service && e.Condition != gossip.Stopping {
			before++
		}
	}
	return before < tableReaders
}

// handleTableSynced marks a table as loaded once its follower has caught up with the
// store: a service without any version of its table has no owners yet.
func (n *Node) handleTableSynced(service ident.Service, ok bool) {
	if !ok {
		return
	}
	n.mu.Lock()
	t := n.tables[service]
	if t != nil && !t.loaded && !t.unreadable {
		t.loaded = true
		if n.machine != nil && service == n.settings.Service {
			n.machine.Read(n.clock.Now(), t.current)
		}
	}
	n.mu.Unlock()
	n.requestReconcile()
}

// receiveTable decodes a version of a table and installs it.
func (n *Node) receiveTable(service ident.Service, version uint64, data []byte, source string) {
	next, err := atlas.Decode(version, data)
	if err != nil {
		n.log.Info("invalid ownership table ignored", "service", string(service), "version", version, "source", source, "err", err.Error())
		return
	}
	n.mu.Lock()
	n.installTable(service, next, data)
	n.mu.Unlock()
	n.requestReconcile()
}

// installTable replaces the table unless the present version is at least as new. It is
// called with mu held.
func (n *Node) installTable(service ident.Service, next *atlas.Table, data []byte) {
	t := n.tables[service]
	if t == nil || (t.loaded && next.Version() <= t.current.Version()) {
		return
	}
	t.current, t.loaded = next, true
	if next.Era() >= n.era {
		// A table that is read from a restored store may not be the one of that version.
		t.encoded = document{data: data, version: next.Version()}
	}
	if n.machine != nil && service == n.settings.Service {
		n.machine.Read(n.clock.Now(), next)
	}
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.documentVersions() })
	n.notify()
}

// documentVersions returns the versions of the documents that this daemon has read. It
// is called with mu held.
func (n *Node) documentVersions() []gossip.Version {
	var out []gossip.Version
	if raw := n.configRaw.Load(); raw != nil {
		out = append(out, gossip.Version{Name: configDocument, Number: raw.version})
	}
	if n.era > 0 {
		out = append(out, gossip.Version{Name: eraDocument, Number: n.era})
	}
	if version := n.evacuations.Version(); version > 0 {
		out = append(out, gossip.Version{Name: evacuationDocument, Number: version})
	}
	for service, t := range n.tables {
		if t.encoded.version > 0 {
			out = append(out, gossip.Version{Name: topicOf(service), Number: t.encoded.version})
		}
	}
	return out
}

// writeTable writes a proposal to the store and reports the outcome to the owner state
// machine. It repeats the write while the outcome is unknown.
func (n *Node) writeTable(proposal *atlas.Table) {
	defer n.requestReconcile()
	data, err := proposal.Encode()
	if err != nil {
		n.log.Error(err, "ownership table not encoded", "version", proposal.Version())
		n.settleProposal(proposal, owner.Refused)
		return
	}
	topic := topicOf(proposal.Service())
	backoff := minRetryDelay
	sawUnknown := false
	for n.ctx.Err() == nil {
		began := n.clock.Now()
		outcome := n.putTable(topic, proposal, data)
		n.metrics.writes[outcome].Inc(1)
		n.log.Info("ownership table written", "service", string(proposal.Service()), "version", proposal.Version(),
			"outcome", outcomeNames[outcome], "bytes", len(data), "took", n.clock.Now().Sub(began).String())
		if outcome == owner.Unknown {
			sawUnknown = true
			n.clock.Sleep(backoff)
			backoff = min(2*backoff, maxRetryDelay)
			continue
		}
		if outcome == owner.Refused && sawUnknown {
			// An earlier write without an answer may still take effect.
			n.clock.Sleep(backoff)
			continue
		}
		if outcome == owner.Written {
			n.mu.Lock()
			before := n.tables[proposal.Service()].current
			n.installTable(proposal.Service(), proposal, data)
			n.mu.Unlock()
			n.announceTable(before, proposal)
		}
		n.settleProposal(proposal, outcome)
		return
	}
}

// minRetryDelay and maxRetryDelay bound the delay before a write is repeated
// whose answer was lost.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

var outcomeNames = map[owner.Outcome]string{
	owner.Written: "written", owner.Lost: "lost the race", owner.Refused: "refused", owner.Unknown: "unknown",
}

// putTable makes one attempt to write a proposal. A conflict may be with the proposal
// itself, written by an earlier attempt whose answer was lost.
func (n *Node) putTable(topic string, proposal *atlas.Table, data []byte) owner.Outcome {
	ctx, cancel := context.WithCancel(n.ctx)
	timer := n.clock.AfterFunc(storeTimeout, cancel)
	defer cancel()
	defer timer.Stop()
	_, err := n.ports.Store.Put(ctx, store.Write{
		Topic: topic, Key: keyInEra(proposal.Era()), Value: data, At: proposal.Version() - 1,
	})
	switch {
	case err == nil:
		return owner.Written
	case errors.Is(err, store.ErrConflict):
	case errors.Is(err, store.ErrRefused):
		return owner.Refused
	default:
		n.log.Info("write without answer", "topic", topic, "version", proposal.Version(), "err", err.Error())
		return owner.Unknown
	}
	newest, ok := n.conflictingTable(ctx, proposal)
	if !ok {
		return owner.Unknown
	}
	if n.storeEra() > proposal.Era() {
		// The write may be in the store, but as that of an earlier era.
		return owner.Lost
	}
	by, number := newest.Writer()
	ourBy, ourNumber := proposal.Writer()
	if newest.Version() == proposal.Version() && by == ourBy && number == ourNumber {
		return owner.Written
	}
	return owner.Lost
}

// conflictingTable returns the version that was written in place of a proposal, or a
// later one. It waits for the announcement by that version's writer and reads the store
// if none arrives within conflictWait.
func (n *Node) conflictingTable(ctx context.Context, proposal *atlas.Table) (*atlas.Table, bool) {
	timer := n.clock.NewTimer(conflictWait)
	defer timer.Stop()
	for {
		n.mu.Lock()
		current, changed := n.tables[proposal.Service()].current, n.changed
		n.mu.Unlock()
		if current.Version() >= proposal.Version() {
			return current, true
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return n.newestTable(ctx, proposal.Service())
		case <-ctx.Done():
			return nil, false
		}
	}
}

// newestTable reads the newest version of a table from the store.
func (n *Node) newestTable(ctx context.Context, service ident.Service) (*atlas.Table, bool) {
	s, err := n.ports.Store.Newest(ctx, topicOf(service))
	if err != nil {
		n.log.Info("newest ownership table not read", "service", string(service), "err", err.Error())
		return nil, false
	}
	var newest store.Item
	version := uint64(0)
	for _, item := range s.Items {
		n.receiveStored(service, item)
		if v, ok := tableVersion(item); ok && v > version {
			newest, version = item, v
		}
	}
	n.handleSnapshotEnd(service, s.End)
	if version == 0 {
		return atlas.New(service), true
	}
	if t, err := atlas.Decode(version, newest.Value); err == nil {
		return t, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.tables[service].current
	return current, current.Version() >= version
}

// settleProposal reports the outcome of a proposal to the owner state machine.
func (n *Node) settleProposal(proposal *atlas.Table, outcome owner.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine.RecordOutcome(n.clock.Now(), proposal, outcome)
	n.notify()
}

// announceTable announces a new version of a table: to all daemons in a fleet of up to
// broadcastLimit, otherwise to the daemons of the service, which write the next version
// and follow the store. Daemons to which it is urgent fetch it at once. The others
// learn of it by gossip.
func (n *Node) announceTable(before, t *atlas.Table) {
	version := gossip.Version{Name: topicOf(t.Service()), Number: t.Version()}
	n.mu.Lock()
	live := n.state.Live(n.clock.Now())
	n.mu.Unlock()
	for _, e := range live {
		if e.Inc.Host == n.settings.Host || (len(live) > broadcastLimit && e.Service != t.Service()) {
			continue
		}
		changed := !slices.Equal(before.RowsOf(e.Inc.Host), t.RowsOf(e.Inc.Host))
		n.socket.Send(e.Addr, gossip.Message{From: n.self, Changed: &version, Urgent: changed || len(live) <= broadcastLimit})
	}
}

// fetch requests a newer version of a document from a peer, unless that document is
// being fetched already.
func (n *Node) fetch(addr string, v gossip.Version) {
	if _, busy := n.fetching.LoadOrStore(v.Name, true); busy {
		return
	}
	n.spawn(func() {
		defer n.fetchUrgent(v)
		defer n.fetching.Delete(v.Name)
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		timer := n.clock.AfterFunc(fetchTimeout, cancel)
		defer timer.Stop()
		data, version, err := n.web.Document(ctx, addr, v.Name)
		if err != nil {
			n.log.Info("document not fetched", "document", v.Name, "version", v.Number, "peer", addr, "err", err.Error())
			return
		}
		n.receiveDocument(v.Name, version, data)
	})
}

// fetchUrgent fetches a table version that concerns this daemon and was announced while
// the given version was being fetched.
func (n *Node) fetchUrgent(fetched gossip.Version) {
	n.mu.Lock()
	var from string
	var version gossip.Version
	for _, t := range n.tables {
		if topicOf(t.service) == fetched.Name && t.urgent > t.current.Version() && t.announced > fetched.Number {
			from, version = t.announcedBy, gossip.Version{Name: fetched.Name, Number: t.announced}
		}
	}
	n.mu.Unlock()
	if from != "" {
		n.fetch(from, version)
	}
}

// fetchStale fetches the tables of which a newer version was announced: this daemon's
// own table at once if it is needed for a proposal, the others no sooner than
// minFetchInterval after the last fetch.
func (n *Node) fetchStale(now time.Time, needed bool) {
	type due struct {
		from    string
		version gossip.Version
	}
	n.mu.Lock()
	var fetches []due
	for _, t := range n.tables {
		if t.announced <= t.current.Version() || t.announcedBy == "" {
			continue
		}
		if (needed && t.service == n.settings.Service) || now.Sub(t.fetchedAt) >= minFetchInterval {
			t.fetchedAt = now
			fetches = append(fetches, due{t.announcedBy, gossip.Version{Name: topicOf(t.service), Number: t.announced}})
		}
	}
	n.mu.Unlock()
	for _, d := range fetches {
		n.fetch(d.from, d.version)
	}
}

// receiveDocument installs a document that a peer has sent.
func (n *Node) receiveDocument(name string, version uint64, data []byte) {
	if name == configDocument {
		n.readConfig(data, "peer")
		return
	}
	if name == evacuationDocument {
		n.mergeEvacuations(data)
		return
	}
	n.mu.Lock()
	var service ident.Service
	for s := range n.tables {
		if topicOf(s) == name {
			service = s
		}
	}
	n.mu.Unlock()
	if service != "" {
		n.receiveTable(service, version, data, "peer")
	}
}
