package journl

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// keepTime is the pause between two shards, which bounds the keeper's
	// traffic to a few kilobytes per second for small journals.
	keepTime = 20 * time.Millisecond
	// transferTime bounds the transfer of one shard to one successor.
	transferTime = 200 * time.Millisecond
)

// Keeper makes the successors' replicas whole after each change of a shard's
// epoch, one shard after the other.
type Keeper struct {
	journal *Journal
	relay   *Relay
	clock   clockwork.Clock
	log     logr.Logger
	stop    context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	want  map[ident.Shard]ident.Epoch
	queue []ident.Shard
}

// KeeperOption changes a Keeper.
type KeeperOption func(*Keeper)

// WithKeeperClock sets the clock.
func WithKeeperClock(clock clockwork.Clock) KeeperOption {
	return func(k *Keeper) { k.clock = clock }
}

// WithKeeperLogger sets the logger.
func WithKeeperLogger(log logr.Logger) KeeperOption { return func(k *Keeper) { k.log = log } }

// NewKeeper returns a keeper of a journal's replicas. Close ends it.
func NewKeeper(journal *Journal, relay *Relay, opts ...KeeperOption) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		journal: journal,
		relay:   relay,
		clock:   clockwork.NewRealClock(),
		log:     logr.Discard(),
		stop:    cancel,
		done:    make(chan struct{}),
		want:    make(map[ident.Shard]ident.Epoch),
	}
	for _, opt := range opts {
		opt(k)
	}
	ticker := k.clock.NewTicker(keepTime)
	go func() {
		defer close(k.done)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				k.sendNext(ctx)
			}
		}
	}()
	return k
}

// Close ends the keeper's goroutine.
func (k *Keeper) Close() error {
	k.stop()
	<-k.done
	return nil
}

// Update takes the shards that this member serves now. Those that are new or
// have a new epoch are sent to their successors.
func (k *Keeper) Update(holdings []Holding) {
	k.mu.Lock()
	defer k.mu.Unlock()
	want := make(map[ident.Shard]ident.Epoch, len(holdings))
	for _, h := range holdings {
		want[h.Shard] = h.Epoch
		if k.want[h.Shard] != h.Epoch {
			k.queue = append(k.queue, h.Shard)
		}
	}
	k.want = want
}

// Pending returns the number of shards whose replicas are not known to be
// whole.
func (k *Keeper) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// sendNext sends the journal of the shard whose turn it is. A shard whose
// successors do not all confirm it is tried again after the others.
func (k *Keeper) sendNext(ctx context.Context) {
	shard, epoch, ok := k.next()
	if !ok {
		return
	}
	whole := true
	for _, to := range k.relay.successors(shard) {
		if err := k.transfer(ctx, to, shard, epoch); err != nil {
			k.log.V(1).Info("replica not confirmed", "shard", shard.String(), "successor", to.String())
			whole = false
		}
	}
	k.finish(shard, epoch, whole)
}

func (k *Keeper) transfer(ctx context.Context, to ident.Incarnation, shard ident.Shard, epoch ident.Epoch) error {
	ctx, cancel := clockwork.WithTimeout(ctx, k.clock, transferTime)
	defer cancel()
	return k.relay.Transfer(ctx, to, k.journal.Export(shard, epoch))
}

// next returns the first shard of the queue that is still served.
func (k *Keeper) next() (ident.Shard, ident.Epoch, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.queue) > 0 {
		if epoch, ok := k.want[k.queue[0]]; ok {
			return k.queue[0], epoch, true
		}
		k.queue = k.queue[1:]
	}
	return ident.Shard{}, 0, false
}

// finish takes the first shard off the queue. It goes to the end when its
// replicas are not whole, unless its epoch has changed since.
func (k *Keeper) finish(shard ident.Shard, epoch ident.Epoch, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue = k.queue[1:]
	if !whole && k.want[shard] == epoch {
		k.queue = append(k.queue, shard)
	}
}
