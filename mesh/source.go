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
	// configDoc is the name under which peers ask for the configuration.
	configDoc = "config"
	// memberTopic is the topic in which daemons say where they are.
	memberTopic = "members"
	// configWait and configGap are the wait of a read for a change of the
	// configuration, and the least time between two.
	configWait = 20 * time.Second
	configGap  = 600 * time.Millisecond
	// watchWait is that wait for the few daemons that watch the configuration: a read
	// that waits when the store falls silent shows nothing until it ends, and with all
	// daemons in long reads a change after the silence was seen late by all.
	watchWait = 1200 * time.Millisecond
	// watchStart is when a daemon that starts begins to watch: it reads the
	// configuration anyway.
	watchStart = 3 * time.Second
	// configWatchers is the number of daemons that watch; gossip tells the others.
	configWatchers = 3
)

// followConfig keeps up with the operators' configuration.
func (n *Node) followConfig() {
	f := store.Follow(n.ports.Store, n.ports.Config.Topic, func(item store.Item) {
		if item.Key == n.ports.Config.Key {
			n.readConfig(item.Value, "store")
		}
	}, store.WithClock(n.clock), store.WithLogger(n.log), store.WithWait(configWait, configGap))
	n.followers = append(n.followers, f)
}

// watchConfig reads the configuration in short reads while this daemon is one of
// those that watch it.
func (n *Node) watchConfig() {
	timer := n.clock.NewTimer(watchStart)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-n.ctx.Done():
		return
	}
	f := store.Follow(n.ports.Store, n.ports.Config.Topic, func(item store.Item) {
		if item.Key == n.ports.Config.Key {
			n.readConfig(item.Value, "watch")
		}
	}, store.WithClock(n.clock), store.WithLogger(n.log.WithName("watch")), store.WithWait(watchWait, configGap),
		store.WithWanted(n.isWatcher))
	<-n.ctx.Done()
	if err := f.Close(); err != nil {
		n.log.Info("watch not closed", "err", err.Error())
	}
}

// isWatcher reports whether this daemon is one of those that watch the
// configuration: the first live ones by name.
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

// readConfig puts a configuration in force unless a newer one is.
func (n *Node) readConfig(data []byte, source string) {
	p, err := n.ports.Config.Decode(data)
	if err != nil {
		n.log.Error(err, "configuration ignored", "source", source, "in_force", n.Plan().Version())
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
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.versions() })
	n.notify()
	n.mu.Unlock()
	n.ready.Store(!n.isStopping())
	n.kick()
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// presence says where a daemon is.
type presence struct {
	Inc  ident.Incarnation `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint"`
}

// announce writes where this daemon is and learns where others are, so that
// daemons that have never heard of each other can meet.
func (n *Node) announce() {
	data, err := cbor.Marshal(presence{Inc: n.self, Addr: n.settings.Peers})
	if err != nil {
		n.log.Error(err, "presence not encoded")
		return
	}
	written := false
	for backoff := firstRetry; n.ctx.Err() == nil; backoff = min(2*backoff, lastRetry) {
		err := n.meet(data, &written)
		if err == nil {
			return
		}
		n.log.Info("other daemons not looked up", "err", err.Error())
		timer := n.clock.NewTimer(backoff)
		select {
		case <-n.ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (n *Node) meet(data []byte, written *bool) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	timer := n.clock.AfterFunc(2*storeTime, cancel)
	defer timer.Stop()
	if !*written {
		w := store.Write{Topic: memberTopic, Key: string(n.settings.Host), Value: data, At: store.Anywhere}
		if _, err := n.ports.Store.Put(ctx, w); err != nil {
			return fmt.Errorf("write presence: %w", err)
		}
		*written = true
	}
	s, err := n.ports.Store.Newest(ctx, memberTopic)
	if err != nil {
		return fmt.Errorf("read presences: %w", err)
	}
	n.greet(s.Items)
	return nil
}

// greet writes to the daemons that have said where they are.
func (n *Node) greet(items []store.Item) {
	now := n.clock.Now()
	var addrs []string
	n.mu.Lock()
	for _, item := range items {
		var p presence
		if err := cbor.Unmarshal(item.Value, &p); err != nil {
			n.log.Info("presence ignored", "key", item.Key, "err", err.Error())
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
