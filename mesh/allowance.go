package mesh

import (
	"sync"
	"time"
)

// allowanceSpan is how long the largest time that callers give on a route is
// remembered.
const allowanceSpan = 30 * time.Second

// allowances learns how much time callers of each route give from their first
// attempt on. A call that comes with less is a later attempt, and the difference
// is what its caller has spent.
type allowances struct {
	mu    sync.Mutex
	most  map[string]time.Duration
	next  map[string]time.Duration
	since time.Time
}

func newAllowances() *allowances {
	return &allowances{most: make(map[string]time.Duration), next: make(map[string]time.Duration)}
}

// spent returns the time that a caller with so much left has spent already.
func (a *allowances) spent(now time.Time, route string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.since) > allowanceSpan {
		a.most, a.next = a.next, make(map[string]time.Duration, len(a.next))
		a.since = now
	}
	a.next[route] = max(a.next[route], left)
	a.most[route] = max(a.most[route], a.next[route])
	return a.most[route] - left
}
