package mesh

import (
	"sync"
	"time"
)

// crashWindow is how long after the loss of a call the crash of its upstream may be
// detected: the next connection is refused, or the next heartbeat starts a new life.
const crashWindow = 2 * time.Second

// inFlight counts the calls at the upstream by fingerprint, and remembers those that
// were lost there within crashWindow.
type inFlight struct {
	mu      sync.Mutex
	running map[uint64]int
	lost    []lostCall
}

// lostCall is a call that was lost at the upstream.
type lostCall struct {
	fingerprint uint64
	at          time.Time
}

func newInFlight() *inFlight { return &inFlight{running: make(map[uint64]int)} }

// add registers a call that is sent to the upstream.
func (f *inFlight) add(fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]++
}

// remove unregisters a call that has ended at the upstream. A lost call stays a suspect
// for crashWindow.
func (f *inFlight) remove(now time.Time, fingerprint uint64, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]--
	if f.running[fingerprint] <= 0 {
		delete(f.running, fingerprint)
	}
	f.lost = f.recentlyLost(now)
	if lost {
		f.lost = append(f.lost, lostCall{fingerprint: fingerprint, at: now})
	}
}

// recentlyLost returns the calls that were lost within crashWindow. It is called with
// mu held.
func (f *inFlight) recentlyLost(now time.Time) []lostCall {
	i := 0
	for i < len(f.lost) && now.Sub(f.lost[i].at) > crashWindow {
		i++
	}
	return f.lost[i:]
}

// takeSuspects returns the fingerprints of the calls that were at the upstream when it
// crashed, and clears the lost ones.
func (f *inFlight) takeSuspects(now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[uint64]bool, len(f.running))
	for fingerprint := range f.running {
		present[fingerprint] = true
	}
	for _, l := range f.recentlyLost(now) {
		present[l.fingerprint] = true
	}
	f.lost = nil
	all := make([]uint64, 0, len(present))
	for fingerprint := range present {
		all = append(all, fingerprint)
	}
	return all
}
