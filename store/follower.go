package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// Time-outs and intervals of a Follower.
const (
	// defaultWait is the long-poll time of a read: how long it waits for a change. A
	// silent connection is not noticed before it has passed.
	defaultWait = 5 * time.Second
	// defaultGap is the minimum interval between the starts of two reads, so that
	// changes in quick succession are fetched with one call.
	defaultGap = 150 * time.Millisecond
	// responseTimeout is how long the response to a read may take in addition to its
	// wait.
	responseTimeout = 1500 * time.Millisecond
	// wantedPoll is the interval at which a follower that is not wanted checks whether
	// the topic must be followed again.
	wantedPoll = 250 * time.Millisecond
	// firstBackoff and maxBackoff are the bounds of the exponential backoff after
	// failed reads, before jitter.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Follower follows a topic: it reads the newest item of every key and then every
// change. After a failed read it tries again with backoff.
type Follower struct {
	port   Port
	topic  string
	apply  func(Item)
	clock  clockwork.Clock
	log    logr.Logger
	wait   time.Duration
	gap    time.Duration
	synced func(bool)
	wanted func() bool
	// snapshotRead is called with each snapshot after its items were delivered.
	snapshotRead func(Snapshot)

	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu sync.Mutex
	// end is the offset from which the next read continues.
	end uint64
	// hasSnapshot is set when the newest items have been read; from then on changes
	// are read.
	hasSnapshot bool
	// cancelRead cancels the pending read, if there is one.
	cancelRead func()
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) FollowerOption { return func(f *Follower) { f.clock = clock } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(log logr.Logger) FollowerOption { return func(f *Follower) { f.log = log } }

// WithPollInterval sets how long a read waits for a change, and the minimum interval between
// the starts of two reads.
func WithPollInterval(wait, gap time.Duration) FollowerOption {
	return func(f *Follower) { f.wait, f.gap = wait, gap }
}

// WithSyncCallback sets a function that is called with true when the follower has read the
// topic, at first or after an outage, and with false when it has lost the store.
func WithSyncCallback(synced func(bool)) FollowerOption {
	return func(f *Follower) { f.synced = synced }
}

// WithEnabled sets a function that reports whether the topic must be followed after
// its newest items were read once. While it returns false, the follower makes no
// calls to the store.
func WithEnabled(wanted func() bool) FollowerOption { return func(f *Follower) { f.wanted = wanted } }

// WithSnapshotCallback sets a function that is called after the items of a snapshot were
// delivered. A key that is missing in it was deleted.
func WithSnapshotCallback(read func(Snapshot)) FollowerOption {
	return func(f *Follower) { f.snapshotRead = read }
}

// Follow starts to follow a topic. It calls apply for every item, from a single
// goroutine. Close ends it.
func Follow(port Port, topic string, apply func(Item), opts ...FollowerOption) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		port: port, topic: topic, apply: apply,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		wait: defaultWait, gap: defaultGap,
		synced: func(bool) {}, wanted: func() bool { return true }, snapshotRead: func(Snapshot) {},
		cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	f.cancelRead = func() {}
	for _, opt := range opts {
		opt(f)
	}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Close ends the follower and waits until its goroutine has finished.
func (f *Follower) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// ReadNow makes the follower cancel its pending read or its backoff and read again at
// once. It is meant for a caller that knows that the topic has grown past what the
// pending read has returned.
func (f *Follower) ReadNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead()
}

// run reads the topic until ctx ends, and reports when the store is lost and
// regained.
func (f *Follower) run(ctx context.Context) {
	backoff := firstBackoff
	up := false
	for ctx.Err() == nil {
		if f.hasSnapshot && !f.wanted() {
			f.pause(ctx, wantedPoll, false)
			continue
		}
		begun := f.clock.Now()
		err := f.step(ctx)
		if err == nil {
			if !up {
				up = true
				f.log.Info("store regained", "topic", f.topic, "end", f.end)
				f.synced(true)
			}
			backoff = firstBackoff
			f.pause(ctx, f.gap-f.clock.Now().Sub(begun), false)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSuperseded) {
			continue
		}
		if up {
			up = false
			f.log.Info("store lost", "topic", f.topic, "end", f.end, "err", err.Error())
			f.synced(false)
		}
		f.pause(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))), true)
		backoff = min(backoff*2, maxBackoff)
	}
}

// errSuperseded is the cause with which ReadNow cancels a pending read.
var errSuperseded = errors.New("read superseded by a new one")

// step makes one read: the newest items at first, then a page of changes. If the
// store no longer has the records that follow, it reads the newest items again.
func (f *Follower) step(ctx context.Context) error {
	if !f.hasSnapshot {
		return f.snapshot(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancelRead(func() { cancel(errSuperseded) })
	defer f.setCancelRead(func() {})
	timer := f.clock.AfterFunc(f.wait+responseTimeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	page, err := f.port.Read(ctx, f.topic, f.end, f.wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errSuperseded) {
			return errSuperseded
		}
		var gone *ExpiredError
		if errors.As(err, &gone) {
			f.hasSnapshot = false
			return f.snapshot(ctx)
		}
		return err
	}
	f.deliver(page.Items)
	f.end = max(f.end, page.End)
	return nil
}

func (f *Follower) setCancelRead(cancelRead func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = cancelRead
}

// snapshot reads the newest items of the topic and delivers them.
func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.clock.AfterFunc(responseTimeout, cancel)
	defer timer.Stop()
	s, err := f.port.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.deliver(s.Items)
	f.end, f.hasSnapshot = s.End, true
	f.snapshotRead(s)
	return nil
}

func (f *Follower) deliver(items []Item) {
	for _, item := range items {
		f.apply(item)
	}
}

// pause waits for d or until ctx ends. If interruptible is set, ReadNow ends it early.
func (f *Follower) pause(ctx context.Context, d time.Duration, interruptible bool) {
	if d <= 0 {
		return
	}
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	wake := f.wake
	if !interruptible {
		wake = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-wake:
	}
}
