package journl

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	defaultWindow  = 2 * time.Minute
	defaultSkew    = 2 * time.Second
	defaultEntries = 128 << 10 // entries
	defaultBytes   = 16 << 20  // bytes
	// MaxStored is the largest answer, in bytes, that is kept for a replay.
	MaxStored = 8 << 10
	// leftTime is how long a shard's log is kept after the shard has left.
	leftTime = time.Minute
	// busyRetry is when a caller may ask for a running request again.
	busyRetry = time.Second
)

// Replicator copies entries to the successors of a shard.
type Replicator interface {
	// Replicate returns nil once the copy is confirmed as far as its policy
	// asks for.
	Replicate(ctx context.Context, shard ident.Shard, epoch ident.Epoch, entries []wire.Entry) error
	// Update sends entries without waiting.
	Update(shard ident.Shard, epoch ident.Epoch, entries []wire.Entry)
}

// Journal keeps idempotency keys. It is safe for concurrent use.
type Journal struct {
	clock      clockwork.Clock
	log        logr.Logger
	scope      tally.Scope
	replicator Replicator
	window     time.Duration
	skew       time.Duration
	maxEntries int
	maxBytes   int

	mu     sync.Mutex
	shards map[ident.Shard]*shardLog
	sum    totals

	replays, refusals, evictions tally.Counter
}

// Option changes a Journal.
type Option func(*Journal)

// WithClock sets the clock, whose wall time is compared with that of keys.
func WithClock(clock clockwork.Clock) Option { return func(j *Journal) { j.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(j *Journal) { j.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(j *Journal) { j.scope = scope } }

// WithReplicator sets where intents are copied to; without one they are not.
func WithReplicator(r Replicator) Option { return func(j *Journal) { j.replicator = r } }

// WithWindow sets how long keys are remembered.
func WithWindow(d time.Duration) Option { return func(j *Journal) { j.window = d } }

// WithSkew sets how far clocks of callers and daemons may differ.
func WithSkew(d time.Duration) Option { return func(j *Journal) { j.skew = d } }

// WithBounds sets the number of entries and the bytes of answers that are
// kept.
func WithBounds(entries, bytes int) Option {
	return func(j *Journal) { j.maxEntries, j.maxBytes = entries, bytes }
}

// New returns an empty journal.
func New(opts ...Option) *Journal {
	j := &Journal{
		clock:      clockwork.NewRealClock(),
		log:        logr.Discard(),
		scope:      tally.NoopScope,
		window:     defaultWindow,
		skew:       defaultSkew,
		maxEntries: defaultEntries,
		maxBytes:   defaultBytes,
		shards:     make(map[ident.Shard]*shardLog),
	}
	for _, opt := range opts {
		opt(j)
	}
	j.replays = j.scope.Counter("journal_replays")
	j.refusals = j.scope.Counter("journal_refusals")
	j.evictions = j.scope.Counter("journal_evictions")
	return j
}

// errSkew is the cause of a refused key that seems to come from the future.
var errSkew = errors.New("idempotency key is later than this daemon's clock allows")

// Begin looks a call's Idempotency-Key up before the call runs. It returns a
// claim for a new key, the stored answer of a finished one, or an error: the
// key is busy, was used by another request, has an unknown outcome, or is too
// old to be sure.
func (j *Journal) Begin(call *calls.Call, shard ident.Shard, epoch ident.Epoch, fingerprint uint64) (*Claim, *calls.Reply, error) {
	made, err := calls.IdempotencyTime(call.Idempotency)
	if err != nil {
		return nil, nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	if made.After(now.Add(j.skew)) {
		return nil, nil, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(errSkew))
	}
	log := j.own(shard, epoch, now)
	log.expire(now.Add(-j.window))
	id := newKeyID(call.Idempotency, made)
	if e := log.entries[id]; e != nil {
		reply, err := j.known(e, fingerprint)
		return nil, reply, err
	}
	if !made.After(log.floor) || made.Before(now.Add(-j.window)) {
		j.refusals.Inc(1)
		return nil, nil, calls.NewUnknown(calls.ReasonKeyExpired)
	}
	e := &entry{id: id, fingerprint: fingerprint, seen: now, state: stateRunning}
	log.add(e)
	j.bound(log)
	return &Claim{journal: j, shard: shard, epoch: epoch, log: log, entry: e}, nil, nil
}

// known answers a key that is in the journal.
func (j *Journal) known(e *entry, fingerprint uint64) (*calls.Reply, error) {
	if e.fingerprint != fingerprint {
		return nil, calls.NewNotRun(calls.ReasonKeyReused)
	}
	switch {
	case e.state == stateRunning:
		return nil, calls.NewUnknown(calls.ReasonKeyBusy, calls.WithRetryAfter(busyRetry))
	case e.state == stateDone && e.whole:
		j.replays.Inc(1)
		return replay(e), nil
	}
	return nil, calls.NewUnknown(calls.ReasonKeyLost)
}

func replay(e *entry) *calls.Reply {
	header := make(http.Header, 1)
	if e.kind != "" {
		header.Set("Content-Type", e.kind)
	}
	return &calls.Reply{
		Status:   e.status,
		Header:   header,
		Body:     io.NopCloser(strings.NewReader(string(e.body))),
		Length:   int64(len(e.body)),
		Replayed: true,
	}
}

// own returns the log of a shard that this member serves.
func (j *Journal) own(shard ident.Shard, epoch ident.Epoch, now time.Time) *shardLog {
	log := j.shards[shard]
	if log == nil {
		log = newShardLog(&j.sum, time.Time{})
		j.shards[shard] = log
	}
	if !log.owned {
		j.adopt(log, epoch, now)
	}
	return log
}

// adopt makes a log that of the shard's owner. Unless the log is whole, the
// floor rises past every key that an earlier owner can have run.
func (j *Journal) adopt(log *shardLog, epoch ident.Epoch, now time.Time) {
	whole := log.epoch != 0 && epoch <= log.epoch+1
	if !whole && epoch > 1 {
		log.raise(now.Add(j.skew))
	}
	for _, e := range log.entries {
		if e.state == stateRunning {
			e.state = stateUnknown
		}
	}
	log.owned = true
}

// bound evicts entries until the journal keeps its bounds.
func (j *Journal) bound(log *shardLog) {
	for j.sum.entries > j.maxEntries || j.sum.bytes > j.maxBytes {
		if !j.largest(log).evict() {
			return
		}
		j.evictions.Inc(1)
	}
}

// largest returns the log with the most entries and bytes, so that a flood on
// one shard costs the others nothing.
func (j *Journal) largest(best *shardLog) *shardLog {
	weight := func(s *shardLog) float64 {
		return float64(len(s.entries))/float64(j.maxEntries) + float64(s.bytes)/float64(j.maxBytes)
	}
	for _, s := range j.shards {
		if weight(s) > weight(best) {
			best = s
		}
	}
	return best
}

// Holding is a shard that a member serves, under an epoch.
type Holding = core.ServedShard

// Serve sets the shards that this member serves. It must be called before a
// view that serves other shards comes into force.
func (j *Journal) Serve(holdings []Holding) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	served := make(map[ident.Shard]bool, len(holdings))
	for _, h := range holdings {
		served[h.Shard] = true
		if h.Base != (ident.Shard{}) {
			j.part(h)
		}
		j.own(h.Shard, h.Epoch, now).epoch = h.Epoch
	}
	for shard, log := range j.shards {
		if log.owned && !served[shard] {
			log.owned, log.left = false, now
		}
	}
}

// part begins the log of a shard that was parted from another one of this member
// with a copy of that one's log: it does not say which keys its entries are of.
func (j *Journal) part(h Holding) {
	base := j.shards[h.Base]
	if j.shards[h.Shard] != nil || base == nil || !base.owned {
		return
	}
	log := newShardLog(&j.sum, base.floor)
	log.owned = true
	for _, e := range base.order[base.head:] {
		if base.entries[e.id] != e {
			continue
		}
		twin := *e
		if e.state == stateRunning {
			e.twin, e.twinLog = &twin, log
		}
		log.add(&twin)
	}
	j.shards[h.Shard] = log
	j.bound(log)
}

// Sweep expires entries and forgets logs that nothing has used for a while.
func (j *Journal) Sweep() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	for shard, log := range j.shards {
		log.expire(now.Add(-j.window))
		if !log.owned && now.Sub(log.left) > max(leftTime, j.window) {
			j.sum.entries -= len(log.entries)
			j.sum.bytes -= log.bytes
			delete(j.shards, shard)
		}
	}
}

// Size returns the number of entries and the bytes of answers kept.
func (j *Journal) Size() (entries, bytes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sum.entries, j.sum.bytes
}
