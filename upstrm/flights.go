package upstrm

import (
	"slices"
	"sync"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// inflightTracker counts the calls in flight for each shard.
type inflightTracker struct {
	mu       sync.Mutex
	running  map[*inflightCall]struct{}
	counts   map[ident.Shard]int
	stopped  map[ident.Shard]struct{}
	draining bool
	waiters  []*idleWaiter
	holds    []shardHold
}

// idleWaiter is a callback to run when its shards are idle. A nil list stands
// for all shards.
type idleWaiter struct {
	shards []ident.Shard
	idle   func([]ident.Shard)
}

// shardHold keeps a shard busy for a call that may still run at an upstream that
// does not check fencing tokens.
type shardHold struct {
	shard ident.Shard
	until time.Time
}

func newInflightTracker() *inflightTracker {
	return &inflightTracker{
		running: make(map[*inflightCall]struct{}),
		counts:  make(map[ident.Shard]int),
		stopped: make(map[ident.Shard]struct{}),
	}
}

// register counts a call, unless its shard is stopped or all calls are refused
// because of a drain.
func (fs *inflightTracker) register(f *inflightCall) *calls.Error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.draining {
		return calls.NewNotRun(calls.ReasonDraining)
	}
	if _, ok := fs.stopped[f.shard]; ok {
		return calls.NewNotRun(calls.ReasonMoving)
	}
	fs.running[f] = struct{}{}
	fs.counts[f.shard]++
	return nil
}

// unregister removes a call. A call that may still run at the upstream keeps its
// shard busy until the given time.
func (fs *inflightTracker) unregister(f *inflightCall, until time.Time) {
	fs.mu.Lock()
	delete(fs.running, f)
	if !until.IsZero() {
		fs.holds = append(fs.holds, shardHold{shard: f.shard, until: until})
		fs.mu.Unlock()
		return
	}
	ready := fs.decrement(f.shard)
	fs.mu.Unlock()
	notifyIdle(ready)
}

// decrement lowers a shard's count and removes and returns the waiters whose
// shards are idle now.
func (fs *inflightTracker) decrement(shard ident.Shard) []*idleWaiter {
	fs.counts[shard]--
	if fs.counts[shard] > 0 {
		return nil
	}
	delete(fs.counts, shard)
	return fs.removeReady()
}

// removeReady removes and returns the waiters whose shards are all idle.
func (fs *inflightTracker) removeReady() []*idleWaiter {
	var ready []*idleWaiter
	fs.waiters = slices.DeleteFunc(fs.waiters, func(w *idleWaiter) bool {
		if !fs.isIdle(w.shards) {
			return false
		}
		ready = append(ready, w)
		return true
	})
	return ready
}

func (fs *inflightTracker) isIdle(shards []ident.Shard) bool {
	if shards == nil {
		return len(fs.counts) == 0
	}
	for _, shard := range shards {
		if fs.counts[shard] > 0 {
			return false
		}
	}
	return true
}

func notifyIdle(ready []*idleWaiter) {
	for _, w := range ready {
		w.idle(w.shards)
	}
}

func (fs *inflightTracker) stopShards(shards []ident.Shard, idle func([]ident.Shard)) {
	fs.mu.Lock()
	for _, shard := range shards {
		fs.stopped[shard] = struct{}{}
	}
	own := append(make([]ident.Shard, 0, len(shards)), shards...)
	fs.waiters = append(fs.waiters, &idleWaiter{shards: own, idle: idle})
	ready := fs.removeReady()
	fs.mu.Unlock()
	notifyIdle(ready)
}

func (fs *inflightTracker) resume(shards []ident.Shard) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for _, shard := range shards {
		delete(fs.stopped, shard)
	}
}

func (fs *inflightTracker) drain(idle func()) {
	fs.mu.Lock()
	fs.draining = true
	fs.waiters = append(fs.waiters, &idleWaiter{idle: func([]ident.Shard) { idle() }})
	ready := fs.removeReady()
	fs.mu.Unlock()
	notifyIdle(ready)
}

// releaseHolds removes the holds that have expired at now.
func (fs *inflightTracker) releaseHolds(now time.Time) {
	fs.mu.Lock()
	var ready []*idleWaiter
	fs.holds = slices.DeleteFunc(fs.holds, func(h shardHold) bool {
		if now.Before(h.until) {
			return false
		}
		ready = append(ready, fs.decrement(h.shard)...)
		return true
	})
	fs.mu.Unlock()
	notifyIdle(ready)
}

func (fs *inflightTracker) total() int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return len(fs.running) + len(fs.holds)
}

// busyUntil returns the latest time at which an upstream that does not check
// fencing tokens may still act.
func (fs *inflightTracker) busyUntil() time.Time {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var latest time.Time
	for f := range fs.running {
		if until := f.mayActUntil(); until.After(latest) {
			latest = until
		}
	}
	for _, h := range fs.holds {
		if h.until.After(latest) {
			latest = h.until
		}
	}
	return latest
}

// cancelAll aborts all calls in flight with the given cause.
func (fs *inflightTracker) cancelAll(cause error) {
	for _, f := range fs.snapshot() {
		f.abort(cause)
	}
}

// snapshot returns the calls in flight.
func (fs *inflightTracker) snapshot() []*inflightCall {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	all := make([]*inflightCall, 0, len(fs.running))
	for f := range fs.running {
		all = append(all, f)
	}
	return all
}

// sentFingerprints returns the distinct fingerprints of the calls in flight that
// were sent to the target, in ascending order.
func (fs *inflightTracker) sentFingerprints(t *target) []uint64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var all []uint64
	for f := range fs.running {
		if f.sent.Load() && f.target == t && !slices.Contains(all, f.fingerprint) {
			all = append(all, f.fingerprint)
		}
	}
	slices.Sort(all)
	return all
}
