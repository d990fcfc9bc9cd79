package poison

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	defaultExpiry  = 10 * time.Minute
	defaultEntries = 4096 // fingerprints
	// maxCrashes bounds the crash ids that are kept for a fingerprint.
	maxCrashes = 8
	// maxReport bounds the entries in one report.
	maxReport = 1024
	// condemnAt is the number of crashes after which a request is refused.
	condemnAt = 2
	// maxAbout bounds the entries in a report about some fingerprints: one datagram.
	maxAbout = 64
	// liftedTime is how long a lifted entry is remembered, so that a late
	// report of a peer does not restore it.
	liftedTime = time.Minute
)

// End says how a request that entered has left.
type End uint8

// Ends.
const (
	// Completed means that the upstream answered: the request is innocent.
	Completed End = iota + 1
	// NotSent means that the request never reached the upstream.
	NotSent
	// Lost means that there was no answer.
	Lost
)

// subject is a fingerprint of a service.
type subject struct {
	service     ident.Service
	fingerprint uint64
}

// suspect is what is known of a subject.
type suspect struct {
	crashes []uint64
	// alone reports that it was the only suspect at one of the crashes.
	alone   bool
	lifted  bool
	expires time.Time
	// again is set when the entry began anew after the one before was lifted.
	again bool
}

// condemned reports whether the request is refused.
func (s *suspect) condemned() bool {
	return !s.lifted && s.alone && len(s.crashes) >= condemnAt
}

// Quarantine keeps suspects and refuses condemned requests. It is safe for
// concurrent use.
type Quarantine struct {
	clock  clockwork.Clock
	log    logr.Logger
	scope  tally.Scope
	sink   events.Sink
	expiry time.Duration
	max    int
	// enough is the number of crashes that condemn a request that was not answered
	// between them, whoever else was there; zero to tell by taking turns.
	enough int

	mu       sync.Mutex
	suspects map[subject]*suspect
	// turn holds one token: suspects run one at a time.
	turn chan struct{}

	refused, condemned, cleared tally.Counter
}

// Option changes a Quarantine.
type Option func(*Quarantine)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(q *Quarantine) { q.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(q *Quarantine) { q.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(q *Quarantine) { q.scope = scope } }

// WithEvents sets where the time line's events go.
func WithEvents(sink events.Sink) Option { return func(q *Quarantine) { q.sink = sink } }

// WithExpiry sets how long a suspect is remembered after its newest crash.
func WithExpiry(d time.Duration) Option { return func(q *Quarantine) { q.expiry = d } }

// WithMax bounds the number of suspects.
func WithMax(n int) Option { return func(q *Quarantine) { q.max = n } }

// WithEnough lets suspects run side by side, and condemns the request that was
// present at so many crashes and never answered between them. Taking turns finds it
// a crash earlier, at the price of the innocent that wait for theirs.
func WithEnough(crashes int) Option { return func(q *Quarantine) { q.enough = crashes } }

// New returns an empty quarantine.
func New(opts ...Option) *Quarantine {
	q := &Quarantine{
		clock:    clockwork.NewRealClock(),
		log:      logr.Discard(),
		scope:    tally.NoopScope,
		sink:     events.Discard{},
		expiry:   defaultExpiry,
		max:      defaultEntries,
		suspects: make(map[subject]*suspect),
		turn:     make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.refused = q.scope.Counter("quarantine_refused")
	q.condemned = q.scope.Counter("quarantine_condemned")
	q.cleared = q.scope.Counter("quarantine_cleared")
	return q
}

// Pass is a request's stay at the upstream.
type Pass struct {
	q     *Quarantine
	about subject
	turn  bool
}

// Enter lets a request run. A suspect waits until no other one runs. The error
// is a *calls.Error with the outcome NotRun.
func (q *Quarantine) Enter(ctx context.Context, service ident.Service, fingerprint uint64) (Pass, error) {
	about := subject{service: service, fingerprint: fingerprint}
	suspected, err := q.check(about)
	if err != nil {
		return Pass{}, err
	}
	if !suspected || q.enough > 0 {
		return Pass{q: q, about: about}, nil
	}
	select {
	case q.turn <- struct{}{}:
	case <-ctx.Done():
		return Pass{}, endError(ctx)
	}
	if _, err := q.check(about); err != nil {
		<-q.turn
		return Pass{}, err
	}
	return Pass{q: q, about: about, turn: true}, nil
}

// check refuses a condemned request and reports whether it is a suspect.
func (q *Quarantine) check(about subject) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.find(about)
	if s != nil && s.condemned() {
		q.refused.Inc(1)
		return true, calls.NewNotRun(calls.ReasonQuarantine)
	}
	return s != nil && !s.lifted, nil
}

// Leave ends the stay, and reports whether that has cleared a suspect.
func (p Pass) Leave(end End) (cleared bool) {
	if p.q == nil {
		return false
	}
	if end == Completed {
		cleared = p.q.clear(p.about)
	}
	if p.turn {
		<-p.q.turn
	}
	return cleared
}

// clear takes a suspect that was answered off the list.
func (q *Quarantine) clear(about subject) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.find(about)
	if s == nil || s.lifted || s.condemned() {
		return false
	}
	q.lift(s)
	q.cleared.Inc(1)
	return true
}

// lift clears an entry and remembers that for a while.
func (q *Quarantine) lift(s *suspect) {
	s.lifted, s.alone = true, false
	s.expires = q.clock.Now().Add(liftedTime)
}

// Crash records that an upstream crashed while the given requests ran there.
// Each crash counts once, whoever reports it.
func (q *Quarantine) Crash(service ident.Service, crash uint64, running []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := make([]bool, len(running))
	known := 0
	for i, fingerprint := range running {
		s := q.find(subject{service: service, fingerprint: fingerprint})
		before[i] = s != nil && !s.lifted && !only(s.crashes, crash)
		if before[i] {
			known++
		}
	}
	for i, fingerprint := range running {
		alone := q.enough == 0 && (len(running) == 1 || (known == 1 && before[i]))
		q.suspect(subject{service: service, fingerprint: fingerprint}, crash, alone)
	}
}

// only reports whether crashes holds nothing but crash.
func only(crashes []uint64, crash uint64) bool {
	return len(crashes) == 1 && crashes[0] == crash
}

// suspect adds one crash to a subject.
func (q *Quarantine) suspect(about subject, crash uint64, alone bool) {
	s := q.find(about)
	if s == nil || s.lifted {
		if s != nil && slices.Contains(s.crashes, crash) {
			return
		}
		again := s != nil
		s = q.add(about)
		s.again = again
	}
	was := s.condemned()
	if !slices.Contains(s.crashes, crash) && len(s.crashes) < maxCrashes {
		s.crashes = append(s.crashes, crash)
	}
	s.alone = s.alone || alone || (q.enough > 0 && len(s.crashes) >= q.enough)
	s.expires = q.clock.Now().Add(q.expiry)
	if !was && s.condemned() {
		q.condemned.Inc(1)
		q.log.Info("request quarantined", "service", string(about.service),
			"fingerprint", about.fingerprint, "crashes", len(s.crashes))
		q.emit(about, fmt.Sprintf("refused after %d crashes", len(s.crashes)))
	}
}

// emit records a change about a subject on the time line.
func (q *Quarantine) emit(about subject, note string) {
	q.sink.Emit(events.Event{
		Kind:    events.KindQuarantine,
		Service: about.service,
		Note:    fmt.Sprintf("request %016x %s", about.fingerprint, note),
	})
}

// add makes a new entry, at the cost of the one that expires first.
func (q *Quarantine) add(about subject) *suspect {
	if _, ok := q.suspects[about]; !ok && len(q.suspects) >= q.max {
		q.evict()
	}
	s := &suspect{}
	q.suspects[about] = s
	return s
}

// evict drops the entry that matters least: one that is not condemned before
// one that is, then the one that expires first.
func (q *Quarantine) evict() {
	var worst subject
	var found *suspect
	for about, s := range q.suspects {
		if found == nil || (found.condemned() && !s.condemned()) ||
			(found.condemned() == s.condemned() && s.expires.Before(found.expires)) {
			worst, found = about, s
		}
	}
	if found != nil {
		delete(q.suspects, worst)
	}
}

// find returns the entry of a subject, or nil when there is none in force.
func (q *Quarantine) find(about subject) *suspect {
	s := q.suspects[about]
	if s == nil {
		return nil
	}
	if !q.clock.Now().Before(s.expires) {
		delete(q.suspects, about)
		return nil
	}
	return s
}

// IsCondemned reports whether requests with the fingerprint are refused.
func IsCondemned(s wire.Suspect) bool {
	return !s.Lifted && s.Alone && len(s.Crashes) >= condemnAt
}

// ErrNotFound is the error of an order about an unknown fingerprint.
var ErrNotFound = errors.New("no such fingerprint in quarantine")

// Lift clears a fingerprint by an operator's order.
func (q *Quarantine) Lift(service ident.Service, fingerprint uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	about := subject{service: service, fingerprint: fingerprint}
	s := q.find(about)
	if s == nil {
		return ErrNotFound
	}
	q.lift(s)
	q.emit(about, "lifted")
	q.log.Info("quarantine lifted", "service", string(service), "fingerprint", fingerprint)
	return nil
}

// endError returns the outcome of a suspect that waited too long for its turn.
func endError(ctx context.Context) *calls.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return calls.NewNotRun(calls.ReasonQueueTimeout, calls.WithCause(ctx.Err()))
	}
	return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
}
