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
	// tableTopic precedes the name of a service in the topic of its table.
	tableTopic = "table."
	// tableKey is the key of the table in its topic.
	tableKey = "table"
	// tableWait and tableGap are the wait of a read for changes of a table, and
	// the least time between two: daemons tell each other of changes at once, so
	// that the store is a second source only.
	tableWait = 8 * time.Second
	tableGap  = 400 * time.Millisecond
	// tableReaders is the number of daemons that follow a table in the store; they
	// tell the others.
	tableReaders = 2
	// raceWait is how long a writer that lost a race waits to be told of the
	// winner's version before it asks the store.
	raceWait = 120 * time.Millisecond
	// storeTime bounds a call to the store.
	storeTime = 1500 * time.Millisecond
	// lazyFetch is the least time between two fetches of a table that does not
	// concern this daemon.
	lazyFetch = 400 * time.Millisecond
	// fetchTime bounds the fetching of a document from a peer.
	fetchTime = 800 * time.Millisecond
	// toldAll is the size of a fleet up to which every daemon is told of a new
	// version at once. In a larger one those whose keys have changed are, and
	// gossip tells the others.
	toldAll = 24
)

// document is a document that peers may ask for.
type document struct {
	data    []byte
	version uint64
}

// table is what is known of the ownership of one service.
type table struct {
	service  ident.Service
	current  *atlas.Table
	raw      document
	read     bool
	follower *store.Follower
	// heard is the highest version that a peer has told of, from its address, and
	// fetched when one was asked for last.
	heard   uint64
	from    string
	fetched time.Time
	// urgent is the highest version that concerns this daemon.
	urgent uint64
}

// topicOf returns the topic of a service's table.
func topicOf(service ident.Service) string { return tableTopic + string(service) }

// ensureTable returns the table of a service and starts to follow it. It is
// called with mu held.
func (n *Node) ensureTable(service ident.Service) *table {
	if t, ok := n.tables[service]; ok {
		return t
	}
	t := &table{service: service, current: atlas.New(service)}
	n.tables[service] = t
	if service == n.settings.Service && n.machine == nil {
		n.machine = owner.New(n.self, service, n.clock.Now(),
			owner.WithTerms(n.settings.terms()), owner.WithHold(n.settings.hold()),
			owner.WithHeat(n.heat, n.fleet), owner.WithSeed(n.self.Boot))
	}
	t.follower = store.Follow(n.ports.Store, topicOf(service),
		func(item store.Item) { n.readTable(service, item.Offset+1, item.Value, "store") },
		store.WithClock(n.clock), store.WithLogger(n.log), store.WithWait(tableWait, tableGap),
		store.WithSynced(func(ok bool) { n.tableSynced(service, ok) }),
		store.WithWanted(func() bool { return n.isReader(service) }))
	return t
}

// isReader reports whether this daemon is one of those that follow a service's
// table in the store.
func (n *Node) isReader(service ident.Service) bool {
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

// tableSynced notes that the newest version of a table was read: a service
// without any version has no owners yet.
func (n *Node) tableSynced(service ident.Service, ok bool) {
	if !ok {
		return
	}
	n.mu.Lock()
	t := n.tables[service]
	if t != nil && !t.read {
		t.read = true
		if n.machine != nil && service == n.settings.Service {
			n.machine.Read(n.clock.Now(), t.current)
		}
	}
	n.mu.Unlock()
	n.kick()
}

// readTable takes a version of a table.
func (n *Node) readTable(service ident.Service, version uint64, data []byte, source string) {
	next, err := atlas.Decode(version, data)
	if err != nil {
		n.log.Info("ownership table ignored", "service", string(service), "version", version, "source", source, "err", err.Error())
		return
	}
	n.mu.Lock()
	n.adoptTable(service, next, data)
	n.mu.Unlock()
	n.kick()
}

// adoptTable puts a version in force unless a newer one is. It is called with mu
// held.
func (n *Node) adoptTable(service ident.Service, next *atlas.Table, data []byte) {
	t := n.tables[service]
	if t == nil || (t.read && next.Version() <= t.current.Version()) {
		return
	}
	t.current, t.read = next, true
	t.raw = document{data: data, version: next.Version()}
	if n.machine != nil && service == n.settings.Service {
		n.machine.Read(n.clock.Now(), next)
	}
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.versions() })
	n.notify()
}

// versions returns what this daemon has read. It is called with mu held.
func (n *Node) versions() []gossip.Version {
	var out []gossip.Version
	if raw := n.configRaw.Load(); raw != nil {
		out = append(out, gossip.Version{Name: configDoc, Number: raw.version})
	}
	for service, t := range n.tables {
		if t.raw.version > 0 {
			out = append(out, gossip.Version{Name: topicOf(service), Number: t.raw.version})
		}
	}
	return out
}

// write writes a proposal and tells the machine what became of it.
func (n *Node) write(proposal *atlas.Table) {
	defer n.kick()
	data, err := proposal.Encode()
	if err != nil {
		n.log.Error(err, "ownership table not written", "version", proposal.Version())
		n.settle(proposal, owner.Refused)
		return
	}
	topic := topicOf(proposal.Service())
	backoff := firstRetry
	unanswered := false
	for n.ctx.Err() == nil {
		began := n.clock.Now()
		outcome := n.put(topic, proposal, data)
		n.counts.writes[outcome].Inc(1)
		n.log.Info("ownership table written", "service", string(proposal.Service()), "version", proposal.Version(),
			"outcome", outcomeNames[outcome], "bytes", len(data), "took", n.clock.Now().Sub(began).String())
		if outcome == owner.Unknown {
			unanswered = true
			n.clock.Sleep(backoff)
			backoff = min(2*backoff, lastRetry)
			continue
		}
		if outcome == owner.Refused && unanswered {
			// The first write may still take effect.
			n.clock.Sleep(backoff)
			continue
		}
		if outcome == owner.Written {
			n.mu.Lock()
			before := n.tables[proposal.Service()].current
			n.adoptTable(proposal.Service(), proposal, data)
			n.mu.Unlock()
			n.spread(before, proposal)
		}
		n.settle(proposal, outcome)
		return
	}
}

// firstRetry and lastRetry bound the time between the repetitions of a write
// whose answer was lost.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

var outcomeNames = map[owner.Outcome]string{
	owner.Written: "written", owner.Lost: "lost the race", owner.Refused: "refused", owner.Unknown: "unknown",
}

// put makes one attempt to write a proposal. A conflict may be with the proposal
// itself, written by an earlier attempt whose answer was lost.
func (n *Node) put(topic string, proposal *atlas.Table, data []byte) owner.Outcome {
	ctx, cancel := context.WithCancel(n.ctx)
	timer := n.clock.AfterFunc(storeTime, cancel)
	defer cancel()
	defer timer.Stop()
	_, err := n.ports.Store.Put(ctx, store.Write{Topic: topic, Key: tableKey, Value: data, At: proposal.Version() - 1})
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
	newest, ok := n.winner(ctx, proposal)
	if !ok {
		return owner.Unknown
	}
	by, number := newest.Writer()
	ourBy, ourNumber := proposal.Writer()
	if newest.Version() == proposal.Version() && by == ourBy && number == ourNumber {
		return owner.Written
	}
	return owner.Lost
}

// winner returns the version that was written in place of a proposal, or a later
// one: the writer tells of it, and the store is asked otherwise.
func (n *Node) winner(ctx context.Context, proposal *atlas.Table) (*atlas.Table, bool) {
	timer := n.clock.NewTimer(raceWait)
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
	for _, item := range s.Items {
		if item.Key != tableKey {
			continue
		}
		t, err := atlas.Decode(item.Offset+1, item.Value)
		if err != nil {
			n.log.Info("ownership table ignored", "service", string(service), "version", item.Offset+1, "err", err.Error())
			return nil, false
		}
		n.readTable(service, item.Offset+1, item.Value, "store")
		return t, true
	}
	return nil, false
}

func (n *Node) settle(proposal *atlas.Table, outcome owner.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine.Settled(n.clock.Now(), proposal, outcome)
	n.notify()
}

// spread tells other daemons that there is a new version of a table: all in a
// small fleet, else the members, who may write the next one, and the readers.
// Those whose keys have changed fetch it at once. Gossip tells the others.
func (n *Node) spread(before, t *atlas.Table) {
	version := gossip.Version{Name: topicOf(t.Service()), Number: t.Version()}
	n.mu.Lock()
	live := n.state.Live(n.clock.Now())
	n.mu.Unlock()
	for _, e := range live {
		if e.Inc.Host == n.settings.Host || (len(live) > toldAll && e.Service != t.Service()) {
			continue
		}
		changed := !slices.Equal(before.RowsOf(e.Inc.Host), t.RowsOf(e.Inc.Host))
		n.socket.Send(e.Addr, gossip.Message{From: n.self, Changed: &version, Urgent: changed || len(live) <= toldAll})
	}
}

// fetch gets a newer version of a document from a peer, unless it is being
// fetched already.
func (n *Node) fetch(addr string, v gossip.Version) {
	if _, busy := n.fetching.LoadOrStore(v.Name, true); busy {
		return
	}
	n.run(func() {
		defer n.fetchUrgent(v)
		defer n.fetching.Delete(v.Name)
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		timer := n.clock.AfterFunc(fetchTime, cancel)
		defer timer.Stop()
		data, version, err := n.web.Document(ctx, addr, v.Name)
		if err != nil {
			n.log.Info("document not fetched", "document", v.Name, "version", v.Number, "peer", addr, "err", err.Error())
			return
		}
		n.takeDocument(v.Name, version, data)
	})
}

// fetchUrgent fetches the version of a table that concerns this daemon and was
// told of while the given one was being fetched.
func (n *Node) fetchUrgent(fetched gossip.Version) {
	n.mu.Lock()
	var from string
	var version gossip.Version
	for _, t := range n.tables {
		if topicOf(t.service) == fetched.Name && t.urgent > t.current.Version() && t.heard > fetched.Number {
			from, version = t.from, gossip.Version{Name: fetched.Name, Number: t.heard}
		}
	}
	n.mu.Unlock()
	if from != "" {
		n.fetch(from, version)
	}
}

// refresh fetches the tables of which a newer version was heard: at once where the
// machine needs it for a proposal, the others after a while.
func (n *Node) refresh(now time.Time, needed bool) {
	type due struct {
		from    string
		version gossip.Version
	}
	n.mu.Lock()
	var fetches []due
	for _, t := range n.tables {
		if t.heard <= t.current.Version() || t.from == "" {
			continue
		}
		if (needed && t.service == n.settings.Service) || now.Sub(t.fetched) >= lazyFetch {
			t.fetched = now
			fetches = append(fetches, due{t.from, gossip.Version{Name: topicOf(t.service), Number: t.heard}})
		}
	}
	n.mu.Unlock()
	for _, d := range fetches {
		n.fetch(d.from, d.version)
	}
}

// takeDocument takes a document that a peer has sent.
func (n *Node) takeDocument(name string, version uint64, data []byte) {
	if name == configDoc {
		n.readConfig(data, "peer")
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
		n.readTable(service, version, data, "peer")
	}
}
