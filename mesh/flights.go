package mesh

import (
	"sync"
	"time"
)

// crashSpan is how long after a call was lost the crash of its upstream may show:
// the next connection is refused, or the next heartbeat begins another life.
const crashSpan = 2 * time.Second

// flights are the calls at the upstream, by their fingerprints, and those that were
// lost there lately.
type flights struct {
	mu      sync.Mutex
	running map[uint64]int
	lost    []lostFlight
}

type lostFlight struct {
	fingerprint uint64
	at          time.Time
}

func newFlights() *flights { return &flights{running: make(map[uint64]int)} }

// begin counts a call that goes to the upstream.
func (f *flights) begin(fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]++
}

// end counts a call that has left the upstream, lost or not.
func (f *flights) end(now time.Time, fingerprint uint64, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]--
	if f.running[fingerprint] <= 0 {
		delete(f.running, fingerprint)
	}
	f.lost = f.recent(now)
	if lost {
		f.lost = append(f.lost, lostFlight{fingerprint: fingerprint, at: now})
	}
}

// recent returns the flights that were lost within crashSpan.
func (f *flights) recent(now time.Time) []lostFlight {
	i := 0
	for i < len(f.lost) && now.Sub(f.lost[i].at) > crashSpan {
		i++
	}
	return f.lost[i:]
}

// crash returns the calls that were at the upstream when it crashed, and forgets
// those that were lost.
func (f *flights) crash(now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[uint64]bool, len(f.running))
	for fingerprint := range f.running {
		present[fingerprint] = true
	}
	for _, l := range f.recent(now) {
		present[l.fingerprint] = true
	}
	f.lost = nil
	all := make([]uint64, 0, len(present))
	for fingerprint := range present {
		all = append(all, fingerprint)
	}
	return all
}
