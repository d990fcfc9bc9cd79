package mesh

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// waitAge is how long a waiting time that came with an answer is better than the
// one that gossip tells.
const waitAge = 400 * time.Millisecond

// waits holds the waiting times that came with answers of other daemons.
type waits struct {
	clock clockwork.Clock
	mu    sync.Mutex
	seen  map[string]seenWait
}

type seenWait struct {
	wait time.Duration
	at   time.Time
}

func newWaits(clock clockwork.Clock) *waits {
	return &waits{clock: clock, seen: make(map[string]seenWait)}
}

// learn takes the waiting time that came with an answer.
func (w *waits) learn(addr string, wait time.Duration) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[addr] = seenWait{wait: wait, at: now}
}

// get returns the waiting time of a daemon, the given one unless a newer one came
// with an answer.
func (w *waits) get(addr string, told time.Duration) time.Duration {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.seen[addr]; ok && now.Sub(s.at) < waitAge {
		return s.wait
	}
	return told
}
