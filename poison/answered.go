package poison

import (
	"sync"
	"time"
)

const (
	// answeredSlots is the number of requests that an Answered remembers at most.
	answeredSlots = 1 << 13
	// AnsweredRetention is how long an answer counts as proof that a request does not
	// crash upstreams.
	AnsweredRetention = time.Minute
)

// Answered remembers which requests an upstream has answered within AnsweredRetention. Such
// a request does not crash the upstreams that run it, even if it is in flight at several
// crashes, as a request that many callers send is. When two requests compete for a
// slot, the older answer is forgotten. It is safe for concurrent use.
type Answered struct {
	mu    sync.Mutex
	slots []answer
}

// answer is the most recent answer to a request.
type answer struct {
	fingerprint uint64
	// at is the time of the answer in nanoseconds since 1970; zero if there was none.
	at int64
}

// NewAnswered returns an empty Answered.
func NewAnswered() *Answered { return &Answered{slots: make([]answer, answeredSlots)} }

// Record notes that a request was answered now.
func (a *Answered) Record(now time.Time, fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots[fingerprint%answeredSlots] = answer{fingerprint: fingerprint, at: now.UnixNano()}
}

// Contains reports whether a request was answered within AnsweredRetention.
func (a *Answered) Contains(now time.Time, fingerprint uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.slots[fingerprint%answeredSlots]
	return s.fingerprint == fingerprint && s.at != 0 && now.UnixNano()-s.at < int64(AnsweredRetention)
}
