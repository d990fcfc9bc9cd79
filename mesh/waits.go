package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxWaitAge is how long a waiting time that came with an answer is preferred to the
// one from gossip.
const maxWaitAge = 400 * time.Millisecond

// peerWaits holds the waiting times that other daemons sent with their answers, by
// address.
type peerWaits struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	reported map[string]reportedWait
}

// reportedWait is a waiting time and when it arrived.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func newPeerWaits(clock clockwork.Clock) *peerWaits {
	return &peerWaits{clock: clock, reported: make(map[string]reportedWait)}
}

// record stores the waiting time that came with an answer.
func (w *peerWaits) record(addr string, wait time.Duration) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reported[addr] = reportedWait{wait: wait, at: now}
}

// get returns the waiting time that the daemon last sent with an answer, or the
// gossiped one if that is older than maxWaitAge.
func (w *peerWaits) get(addr string, gossiped time.Duration) time.Duration {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.reported[addr]; ok && now.Sub(s.at) < maxWaitAge {
		return s.wait
	}
	return gossiped
}
