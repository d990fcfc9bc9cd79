package peers

import (
	"sync"
	"time"
)

// doubts holds the peers that have not confirmed a call since they last did one.
// One call at a time waits for such a peer in full, so that a slow one is found
// again; the others give up sooner.
type doubts struct {
	mu sync.Mutex
	// probing is set, by the peer's address, while a call waits in full.
	probing map[string]bool
}

func newDoubts() *doubts { return &doubts{probing: make(map[string]bool)} }

// begin returns how long a call may wait for its confirmation, and whether it is
// the one that waits in full for a peer in doubt.
func (d *doubts) begin(addr string) (patience time.Duration, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	probing, doubted := d.probing[addr]
	switch {
	case !doubted:
		return webConfirm, false
	case probing:
		return webDoubt, false
	}
	d.probing[addr] = true
	return webConfirm, true
}

// confirmed takes the news that a peer reads calls.
func (d *doubts) confirmed(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probing, addr)
}

// failed takes the end of a call without confirmation.
func (d *doubts) failed(addr string, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing[addr] = d.probing[addr] && !probe
}

// gaveUp takes the end of a call whose caller left before the confirmation: it
// tells nothing of the peer.
func (d *doubts) gaveUp(addr string, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, doubted := d.probing[addr]; doubted && probe {
		d.probing[addr] = false
	}
}
