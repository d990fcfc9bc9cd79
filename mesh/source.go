package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

const (
	// configDocument is the name under which peers request the configuration.
	configDocument = "config"
	// memberTopic is the topic in which daemons publish their addresses.
	memberTopic = "members"
	// configPollTimeout is how long a read waits for a change of the configuration, and
	// configMinInterval the least time between two reads.
	configPollTimeout = 20 * time.Second
	configMinInterval = 600 * time.Millisecond
	// watchPollTimeout is the shorter wait of the few daemons that watch the
	// configuration. When the store stops answering, a read that waits notices nothing
	// until it ends; with only long reads, all daemons learned late of a change that
	// followed such an outage.
	watchPollTimeout = 1200 * time.Millisecond
	// watchDelay is how long after its start a daemon begins to watch: it reads the
	// configuration at the start anyway.
	watchDelay = 3 * time.Second
	// configWatchers is the number of daemons that watch the configuration; the others
	// learn of changes by gossip.
	configWatchers = 3
)

// followConfig starts to follow the operators' configuration in the store.
func (n *Node) followConfig() {
	f := store.Follow(n.ports.Store, n.ports.Config.Topic, n.operatorRecords("store"),
		store.WithSnapshotCallback(n.readEvacuations), store.WithClock(n.clock), store.WithLogger(n.log),
		store.WithPollInterval(configPollTimeout, configMinInterval))
	n.followers = append(n.followers, f)
}

// operatorRecords returns the function that receives the operators' records from a
// follower; source names the follower in the log.
func (n *Node) operatorRecords(source string) func(store.Item) {
	return func(item store.Item) {
		n.observeEra(store.Era(item.Offset), source)
		if item.Key == n.ports.Config.Key {
			n.readConfig(item.Value, source)
			return
		}
		n.readEvacuation(item)
	}
}

// watchConfig polls the configuration with short reads while this daemon is a watcher.
func (n *Node) watchConfig() {
	timer := n.clock.NewTimer(watchDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-n.ctx.Done():
		return
	}
	f := store.Follow(n.ports.Store, n.ports.Config.Topic, n.operatorRecords("watch"),
		store.WithSnapshotCallback(n.readEvacuations), store.WithClock(n.clock), store.WithLogger(n.log.WithName("watch")),
		store.WithPollInterval(watchPollTimeout, configMinInterval), store.WithEnabled(n.isWatcher))
	<-n.ctx.Done()
	if err := f.Close(); err != nil {
		n.log.Info("configuration follower not closed", "err", err.Error())
	}
}

// isWatcher reports whether this daemon is one of those that watch the configuration:
// the first live ones in the order of their names.
func (n *Node) isWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range n.state.Live(n.clock.Now()) {
		if e.Inc.Host == n.settings.Host {
			return i < configWatchers
		}
	}
	return false
}

// readConfig decodes a configuration and installs it unless a newer one is in force.
func (n *Node) readConfig(data []byte, source string) {
	p, err := n.ports.Config.Decode(data)
	if err != nil {
		n.log.Error(err, "invalid configuration ignored", "source", source, "in_force", n.Plan().Version())
		return
	}
	before := n.Plan().Version()
	if !n.plans.Set(p) {
		return
	}
	n.configRaw.Store(&document{data: data, version: p.Version()})
	n.log.Info("configuration in force", "version", p.Version(), "before", before, "routes", p.Routes(), "source", source)
	n.mu.Lock()
	for _, service := range p.Ordered() {
		n.ensureTable(service)
	}
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.documentVersions() })
	n.notify()
	n.mu.Unlock()
	n.paceWarmup()
	n.bodies.SetCapacity(n.bodyCapacity())
	n.ready.Store(!n.isStopping())
	n.requestReconcile()
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// presence is the record that publishes the address of a daemon.
type presence struct {
	Inc  ident.Incarnation `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint"`
}

// announce publishes this daemon's address in the store and contacts the daemons that
// are found there, so that daemons without a common seed find each other. It retries
// until it succeeds.
func (n *Node) announce() {
	data, err := cbor.Marshal(presence{Inc: n.self, Addr: n.settings.PeerAddr})
	if err != nil {
		n.log.Error(err, "presence not encoded")
		return
	}
	written := false
	n.retry("presence not exchanged", func(ctx context.Context) error { return n.exchangePresence(ctx, data, &written) })
}

// retry repeats an exchange with the store, with growing pauses, until it succeeds or the
// node is closed. An attempt may take two store timeouts. Failure is what the log says of
// an attempt that failed.
func (n *Node) retry(failure string, attempt func(ctx context.Context) error) {
	for backoff := minRetryDelay; n.ctx.Err() == nil; backoff = min(2*backoff, maxRetryDelay) {
		ctx, cancel := context.WithCancel(n.ctx)
		limit := n.clock.AfterFunc(2*storeTimeout, cancel)
		err := attempt(ctx)
		limit.Stop()
		cancel()
		if err == nil {
			return
		}
		n.log.Info(failure+", retrying", "err", err.Error())
		timer := n.clock.NewTimer(backoff)
		select {
		case <-n.ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// exchangePresence makes one attempt to write this daemon's presence, unless written is
// set already, and to contact the daemons whose presences are in the store.
func (n *Node) exchangePresence(ctx context.Context, data []byte, written *bool) error {
	if !*written {
		w := store.Write{Topic: memberTopic, Key: string(n.settings.Host), Value: data, At: store.AnyOffset}
		if _, err := n.ports.Store.Put(ctx, w); err != nil {
			return fmt.Errorf("write presence: %w", err)
		}
		*written = true
	}
	s, err := n.ports.Store.Newest(ctx, memberTopic)
	if err != nil {
		return fmt.Errorf("read presences: %w", err)
	}
	n.contactPeers(s.Items)
	return nil
}

// contactPeers sends this daemon's gossip entry to the daemons that have published
// their addresses.
func (n *Node) contactPeers(items []store.Item) {
	now := n.clock.Now()
	var addrs []string
	n.mu.Lock()
	for _, item := range items {
		var p presence
		if err := cbor.Unmarshal(item.Value, &p); err != nil {
			n.log.Info("invalid presence ignored", "key", item.Key, "err", err.Error())
			continue
		}
		if p.Inc.Host == n.settings.Host {
			continue
		}
		n.state.Seed(now, p.Inc, p.Addr)
		addrs = append(addrs, p.Addr)
	}
	message := gossip.Message{From: n.self, Entries: []gossip.Entry{n.state.Self()}}
	n.mu.Unlock()
	for _, addr := range addrs {
		n.socket.Send(addr, message)
	}
	n.log.Info("other daemons looked up", "found", len(addrs))
}
