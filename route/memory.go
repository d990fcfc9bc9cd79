package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// maxCacheEntries limits failedMembers and ownerCache each. A cache that
// reaches it is cleared.
const maxCacheEntries = 4096

// retryBudget is a token bucket that limits retries to a fraction of all calls.
// Each token pays for one retry.
type retryBudget struct {
	ratio, refillRate, burst float64
	mu                       sync.Mutex
	tokens                   float64
	lastRefill               time.Time
}

func newBudget(ratio, refillRate, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, refillRate: refillRate, burst: burst, tokens: burst}
}

// deposit adds the tokens that one new call contributes.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// spend takes one token and reports whether there was one. Tokens are also
// added over time, so that a member with few calls can still retry until a new
// owner serves.
func (b *retryBudget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.lastRefill).Seconds()*b.refillRate, b.burst)
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// failedMembers records for a short time which members failed. The field count
// holds the number of entries, so that lookups take no lock while there are
// none.
type failedMembers struct {
	count atomic.Int32
	mu    sync.Mutex
	until map[ident.Incarnation]time.Time
}

func newFailedMembers() *failedMembers {
	return &failedMembers{until: make(map[ident.Incarnation]time.Time)}
}

func (f *failedMembers) add(inc ident.Incarnation, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.until) >= maxCacheEntries {
		clear(f.until)
	}
	f.until[inc] = until
	f.count.Store(int32(len(f.until)))
}

func (f *failedMembers) clear(inc ident.Incarnation) {
	if f.count.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.until, inc)
	f.count.Store(int32(len(f.until)))
}

func (f *failedMembers) has(inc ident.Incarnation, now time.Time) bool {
	if f.count.Load() == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.until[inc]
	if ok && now.After(until) {
		delete(f.until, inc)
		f.count.Store(int32(len(f.until)))
		return false
	}
	return ok
}

// ownerCache records which member served a shard when the table names another
// owner. The table is outdated in this way while the log is down.
type ownerCache struct {
	count  atomic.Int32
	mu     sync.Mutex
	owners map[ident.Shard]cachedOwner
}

// cachedOwner is an owner found while the table was at epoch. The entry is
// valid only as long as the table still shows that epoch.
type cachedOwner struct {
	epoch ident.Epoch
	owner ident.Incarnation
}

func newOwnerCache() *ownerCache {
	return &ownerCache{owners: make(map[ident.Shard]cachedOwner)}
}

// add records that owner served the target's shard. The entry is removed when
// the table names the same owner.
func (c *ownerCache) add(target table.Target, owner ident.Incarnation) {
	if target.Owner == owner && c.count.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if target.Owner == owner {
		delete(c.owners, target.Shard)
	} else {
		if len(c.owners) >= maxCacheEntries {
			clear(c.owners)
		}
		c.owners[target.Shard] = cachedOwner{epoch: target.Epoch, owner: owner}
	}
	c.count.Store(int32(len(c.owners)))
}

// find returns the cached owner of the target's shard, or the zero incarnation
// when there is none for the target's epoch.
func (c *ownerCache) find(target table.Target) ident.Incarnation {
	if c.count.Load() == 0 {
		return ident.Incarnation{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.owners[target.Shard]
	if !ok || cached.epoch != target.Epoch {
		return ident.Incarnation{}
	}
	return cached.owner
}

// inFlightCalls counts the calls in flight at each member.
type inFlightCalls struct {
	mu    sync.Mutex
	count map[ident.Incarnation]int
}

func newInFlightCalls() *inFlightCalls {
	return &inFlightCalls{count: make(map[ident.Incarnation]int)}
}

func (c *inFlightCalls) add(inc ident.Incarnation, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[inc] += n
	if c.count[inc] <= 0 {
		delete(c.count, inc)
	}
}

func (c *inFlightCalls) get(inc ident.Incarnation) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[inc]
}
