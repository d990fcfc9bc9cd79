package mesh

import (
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/poison"
)

// crashWindow is how long after the loss of a call the crash of its upstream may be
// detected: the next connection is refused, or the next heartbeat starts a new life.
const crashWindow = 2 * time.Second

// inFlight counts the calls at the upstream by fingerprint, and remembers those that
// were lost there within crashWindow.
type inFlight struct {
	mu      sync.Mutex
	running map[uint64]runningCalls
	lost    []lostCall
}

// runningCalls are the calls with one fingerprint that are at the upstream.
type runningCalls struct {
	count int
	// answered is set when a daemon has seen an answer to such a call lately.
	answered bool
}

// lostCall is a call that was lost at the upstream.
type lostCall struct {
	fingerprint uint64
	answered    bool
	at          time.Time
}

func newInFlight() *inFlight { return &inFlight{running: make(map[uint64]runningCalls)} }

// add registers a call that is sent to the upstream. Answered is set when a daemon has seen
// an answer to such a call lately.
func (f *inFlight) add(fingerprint uint64, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[fingerprint]
	f.running[fingerprint] = runningCalls{count: r.count + 1, answered: r.answered || answered}
}

// remove unregisters a call that has ended at the upstream. A lost call stays a suspect
// for crashWindow.
func (f *inFlight) remove(now time.Time, fingerprint uint64, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[fingerprint]
	r.count--
	f.running[fingerprint] = r
	if r.count <= 0 {
		delete(f.running, fingerprint)
	}
	f.lost = f.recentlyLost(now)
	if lost {
		f.lost = append(f.lost, lostCall{fingerprint: fingerprint, answered: r.answered, at: now})
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

// takeSuspects returns the number of different calls that were at the upstream when it
// crashed, and the fingerprints of those that may have crashed it: all but those that were
// answered lately. It clears the lost calls.
func (f *inFlight) takeSuspects(now time.Time, answered *poison.Answered) (present int, suspects []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	innocent := make(map[uint64]bool, len(f.running))
	for fingerprint, r := range f.running {
		innocent[fingerprint] = r.answered
	}
	for _, l := range f.recentlyLost(now) {
		innocent[l.fingerprint] = innocent[l.fingerprint] || l.answered
	}
	f.lost = nil
	for fingerprint, known := range innocent {
		if !known && !answered.Contains(now, fingerprint) {
			suspects = append(suspects, fingerprint)
		}
	}
	return len(innocent), suspects
}
