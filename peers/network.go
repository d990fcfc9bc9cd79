package peers

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// Network connects in-memory transports for tests. Each direction between two hosts can
// be cut or given a message loss rate.
type Network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[ident.Host]*MemTransport
	links map[link]linkFault
}

// link is one direction between two hosts.
type link struct{ from, to ident.Host }

// linkFault holds the faults injected on a link.
type linkFault struct {
	cut  bool
	loss float64
}

// NewNetwork returns a network without faults. Seed seeds the random choice of lost
// messages.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rand:  rand.New(rand.NewPCG(seed, seed)),
		hosts: map[ident.Host]*MemTransport{},
		links: map[link]linkFault{},
	}
}

// Join adds a host whose messages and calls go to handler. A host that is present
// already is replaced, as by a restart.
func (n *Network) Join(host ident.Host, handler Handler) *MemTransport {
	ctx, cancel := context.WithCancel(context.Background())
	m := &MemTransport{
		network: n,
		host:    host,
		handler: handler,
		in:      ring.NewDropping[[]byte](memQueueSize),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		m.deliver(ctx)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[host] = m
	return m
}

// SetCut cuts or restores all traffic from one host to another.
func (n *Network) SetCut(from, to ident.Host, cut bool) {
	n.updateFault(from, to, func(f *linkFault) { f.cut = cut })
}

// SetLoss makes a link drop the given fraction of its control messages, from 0 to 1.
func (n *Network) SetLoss(from, to ident.Host, fraction float64) {
	n.updateFault(from, to, func(f *linkFault) { f.loss = fraction })
}

func (n *Network) updateFault(from, to ident.Host, change func(*linkFault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from: from, to: to}
	f := n.links[l]
	change(&f)
	n.links[l] = f
}

// destination returns the transport at the end of a link, or nil if the link is cut or
// the host has not joined.
func (n *Network) destination(from ident.Host, to table.Member) *MemTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[link{from: from, to: to.Inc.Host}].cut {
		return nil
	}
	return n.hosts[to.Inc.Host]
}

// dropsNext reports whether the link drops its next message.
func (n *Network) dropsNext(from, to ident.Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.links[link{from: from, to: to}]
	return f.loss > 0 && n.rand.Float64() < f.loss
}

func (n *Network) remove(m *MemTransport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[m.host] == m {
		delete(n.hosts, m.host)
	}
}
