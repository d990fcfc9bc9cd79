package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/steer"
)

// LookupOwner implements steer.Directory.
func (n *Node) LookupOwner(service ident.Service, point uint32) (owner.KeyStatus, ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine != nil && service == n.settings.Service {
		return n.machine.Locate(n.clock.Now(), point)
	}
	t, ok := n.tables[service]
	if !ok {
		return owner.KeyUnowned, ""
	}
	member, ok := t.current.Owner(point)
	if !ok {
		return owner.KeyUnowned, ""
	}
	return owner.KeyRemote, member.Inc.Host
}

// Target implements steer.Directory.
func (n *Node) Target(host ident.Host) (steer.Target, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, _ := n.state.Find(n.clock.Now(), host)
	if e.Addr == "" {
		return steer.Target{}, false
	}
	return n.target(e), true
}

// Targets implements steer.Directory.
func (n *Node) Targets(service ident.Service) []steer.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var targets []steer.Target
	for _, e := range n.state.Live(n.clock.Now()) {
		if e.Inc.Host == n.settings.Host {
			e.Condition = n.condition()
			if n.stopping && n.upstream.present && !n.upstream.leaving && !n.upstream.evacuated {
				// The upstream keeps running and this daemon still forwards calls to it.
				e.Condition = gossip.Ready
			}
		}
		if e.Service == service && e.Condition == gossip.Ready && !n.evacuations.Has(e.Zone) {
			targets = append(targets, n.target(e))
		}
	}
	return targets
}

// target converts the gossip entry of a daemon for the router. It is called with mu
// held.
func (n *Node) target(e gossip.Entry) steer.Target {
	t := steer.Target{
		Host: e.Inc.Host, Addr: e.Addr,
		Local: e.Inc.Host == n.settings.Host, Near: e.Zone == n.settings.Zone, Region: n.settings.Regions[e.Zone],
		Capacity: float64(e.Load.Capacity), Slots: int(e.Slots),
	}
	if t.Local {
		t.Wait = n.gate.LongestWait()
	} else {
		t.Wait = n.peerWaits.get(e.Addr, time.Duration(e.Load.Wait)*time.Millisecond)
	}
	return t
}

// updateKeyRates updates the measured rates of calls per key.
func (n *Node) updateKeyRates() {
	now := n.clock.Now()
	n.upstreamKeyRates.Tick(now)
	n.callerKeyRates.Tick(now)
}
