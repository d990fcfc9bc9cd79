package peers

import (
	"sync"
	"time"
)

// unconfirmedPeers tracks the peers whose last call ended without a confirmation. One
// call at a time waits the full webConfirmTimeout for such a peer, so that a slow but
// working peer is detected; other calls wait only webSuspectTimeout.
type unconfirmedPeers struct {
	mu sync.Mutex
	// probing maps the address of each unconfirmed peer to whether a call is waiting the
	// full timeout for it now.
	probing map[string]bool
}

func newUnconfirmedPeers() *unconfirmedPeers {
	return &unconfirmedPeers{probing: make(map[string]bool)}
}

// confirmTimeout returns how long a call may wait for its confirmation. Probe is set
// when the call is the one that waits the full timeout for an unconfirmed peer.
func (d *unconfirmedPeers) confirmTimeout(addr string) (timeout time.Duration, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	probing, doubted := d.probing[addr]
	switch {
	case !doubted:
		return webConfirmTimeout, false
	case probing:
		return webSuspectTimeout, false
	}
	d.probing[addr] = true
	return webConfirmTimeout, true
}

// confirmed records that the peer confirmed a call.
func (d *unconfirmedPeers) confirmed(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, addr)
}

// failed records that a call timed out or broke before the peer confirmed it.
func (d *unconfirmedPeers) failed(addr string, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing[addr] = d.probing[addr] && !probe
}

// abandoned records that the caller canceled a call before the confirmation, which says
// nothing about the state of the peer.
func (d *unconfirmedPeers) abandoned(addr string, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, doubted := d.probing[addr]; doubted && probe {
		d.probing[addr] = false
	}
}
