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

// Times of a Follower.
const (
	// defaultWait is how long a read waits for a change. A connection that has
	// gone silent is noticed after it.
	defaultWait = 5 * time.Second
	// defaultGap is the least time between two reads, so that changes in quick
	// succession cost one call.
	defaultGap = 150 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait.
	answerTime = 1500 * time.Millisecond
	// wantedTime is the time between two looks at whether the topic must be
	// followed.
	wantedTime = 250 * time.Millisecond
	// firstBackoff and maxBackoff bound the time between failed reads.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Follower keeps up with a topic: it reads the newest item of every key and then
// every change.
type Follower struct {
	port   Port
	topic  string
	take   func(Item)
	clock  clockwork.Clock
	log    logr.Logger
	wait   time.Duration
	gap    time.Duration
	synced func(bool)
	wanted func() bool

	cancel context.CancelFunc
	done   chan struct{}
	hurry  chan struct{}

	mu     sync.Mutex
	end    uint64
	read   bool
	behind func()
}

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) FollowerOption { return func(f *Follower) { f.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) FollowerOption { return func(f *Follower) { f.log = log } }

// WithWait sets how long a read waits for a change, and the least time between
// two reads.
func WithWait(wait, gap time.Duration) FollowerOption {
	return func(f *Follower) { f.wait, f.gap = wait, gap }
}

// WithSynced sets who is told when the follower has caught up and when it has
// lost the store.
func WithSynced(synced func(bool)) FollowerOption { return func(f *Follower) { f.synced = synced } }

// WithWanted sets what tells whether the topic must be followed after its newest
// items were read once. While it says no, no calls are made.
func WithWanted(wanted func() bool) FollowerOption { return func(f *Follower) { f.wanted = wanted } }

// Follow starts to follow a topic. Take is called for every item, from one
// goroutine. Close ends it.
func Follow(port Port, topic string, take func(Item), opts ...FollowerOption) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		port: port, topic: topic, take: take,
		clock: clockwork.NewRealClock(), log: logr.Discard(),
		wait: defaultWait, gap: defaultGap,
		synced: func(bool) {}, wanted: func() bool { return true },
		cancel: cancel, done: make(chan struct{}), hurry: make(chan struct{}, 1),
	}
	f.behind = func() {}
	for _, opt := range opts {
		opt(f)
	}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Close ends the follower.
func (f *Follower) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// Hurry makes the follower read now, on a new call, since the topic is known to
// have grown past what the pending read has returned.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind()
}

// run reads until ctx ends.
func (f *Follower) run(ctx context.Context) {
	backoff := firstBackoff
	up := false
	for ctx.Err() == nil {
		if f.read && !f.wanted() {
			f.pause(ctx, wantedTime, false)
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
		if errors.Is(err, errHurried) {
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

// errHurried ends a read that Hurry has overtaken.
var errHurried = errors.New("read overtaken")

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.read {
		return f.snapshot(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setBehind(func() { cancel(errHurried) })
	defer f.setBehind(func() {})
	timer := f.clock.AfterFunc(f.wait+answerTime, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	page, err := f.port.Read(ctx, f.topic, f.end, f.wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errHurried) {
			return errHurried
		}
		var gone *GoneError
		if errors.As(err, &gone) {
			f.read = false
			return f.snapshot(ctx)
		}
		return err
	}
	f.deliver(page.Items)
	f.end = max(f.end, page.End)
	return nil
}

func (f *Follower) setBehind(behind func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind = behind
}

// snapshot reads the newest items, after a start or when history has expired.
func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.clock.AfterFunc(answerTime, cancel)
	defer timer.Stop()
	s, err := f.port.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.deliver(s.Items)
	f.end, f.read = s.End, true
	return nil
}

func (f *Follower) deliver(items []Item) {
	for _, item := range items {
		f.take(item)
	}
}

// pause waits, shorter when Hurry is called and wake allows it.
func (f *Follower) pause(ctx context.Context, d time.Duration, wake bool) {
	if d <= 0 {
		return
	}
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	hurry := f.hurry
	if !wake {
		hurry = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-hurry:
	}
}
