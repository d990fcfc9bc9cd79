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
	// defaultExpiry is how long a suspect is kept after its newest crash.
	defaultExpiry = 10 * time.Minute
	// defaultMaxEntries bounds the suspects of a quarantine.
	defaultMaxEntries = 4096
	// maxCrashes bounds the crash ids that are kept for one suspect.
	maxCrashes = 8
	// maxReportEntries bounds the entries in a report of all suspects.
	maxReportEntries = 1024
	// crashesToBlock is the least number of crashes after which a request is
	// blocked.
	crashesToBlock = 2
	// maxTargetedEntries bounds the entries in a report about given fingerprints,
	// so that the report fits into one datagram.
	maxTargetedEntries = 64
	// liftedRetention is how long a lifted entry is kept, so that a delayed report
	// of a peer does not restore it.
	liftedRetention = time.Minute
)

// End is how a request that Enter admitted has ended.
type End uint8

// Ways in which a request ends.
const (
	// Completed means that the upstream answered, which clears a suspect.
	Completed End = iota + 1
	// NotSent means that the request never reached the upstream.
	NotSent
	// Lost means that the upstream did not answer.
	Lost
)

// suspectID identifies a suspect by its service and fingerprint.
type suspectID struct {
	service     ident.Service
	fingerprint uint64
}

// suspect is the entry of one suspect. An entry that was lifted stays for
// liftedRetention.
type suspect struct {
	// crashes lists the ids of the crashes at which the request was in flight.
	crashes []uint64
	// soleSuspect is set when the request was the only suspect at one of the
	// crashes, or was present at crashThreshold crashes.
	soleSuspect bool
	lifted      bool
	expires     time.Time
	// recreated is set when the entry replaces one that was lifted.
	recreated bool
}

// blocked reports whether requests of the suspect are refused.
func (s *suspect) blocked() bool {
	return !s.lifted && s.soleSuspect && len(s.crashes) >= crashesToBlock
}

// Quarantine tracks suspects and refuses requests that are blocked. It is safe for
// concurrent use.
type Quarantine struct {
	clock      clockwork.Clock
	log        logr.Logger
	scope      tally.Scope
	sink       events.Sink
	expiry     time.Duration
	maxEntries int
	// crashThreshold is the number of crashes after which a request that was not
	// answered between them is blocked, whichever other requests were in flight.
	// Zero selects the rule by which suspects run one at a time.
	crashThreshold int

	mu       sync.Mutex
	suspects map[suspectID]*suspect
	// suspectSem is a semaphore of capacity one, which the running suspect holds.
	suspectSem chan struct{}

	refused, blocked, cleared tally.Counter
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(q *Quarantine) { q.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(q *Quarantine) { q.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(q *Quarantine) { q.scope = scope } }

// WithEvents sets the sink for events of the time line.
func WithEvents(sink events.Sink) Option { return func(q *Quarantine) { q.sink = sink } }

// WithExpiry sets how long a suspect is kept after its newest crash.
func WithExpiry(d time.Duration) Option { return func(q *Quarantine) { q.expiry = d } }

// WithMax sets the largest number of suspects.
func WithMax(n int) Option { return func(q *Quarantine) { q.maxEntries = n } }

// WithCrashThreshold lets suspects run concurrently, and blocks a request that was present
// at the given number of crashes and was not answered between them. Running
// suspects one at a time detects a poison request one crash earlier, but makes
// harmless suspects wait.
func WithCrashThreshold(crashes int) Option {
	return func(q *Quarantine) { q.crashThreshold = crashes }
}

// New returns an empty quarantine.
func New(opts ...Option) *Quarantine {
	q := &Quarantine{
		clock:      clockwork.NewRealClock(),
		log:        logr.Discard(),
		scope:      tally.NoopScope,
		sink:       events.Discard{},
		expiry:     defaultExpiry,
		maxEntries: defaultMaxEntries,
		suspects:   make(map[suspectID]*suspect),
		suspectSem: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.refused = q.scope.Counter("quarantine_refused")
	q.blocked = q.scope.Counter("quarantine_condemned")
	q.cleared = q.scope.Counter("quarantine_cleared")
	return q
}

// Pass is the admission of one request to the upstream.
type Pass struct {
	q        *Quarantine
	id       suspectID
	holdsSem bool
}

// Enter admits a request to the upstream. Pass.Leave must be called when the
// request has ended. A suspect waits until no other suspect runs, unless
// WithCrashThreshold is set. The error is a *calls.Error with the outcome NotRun.
func (q *Quarantine) Enter(ctx context.Context, service ident.Service, fingerprint uint64) (Pass, error) {
	id := suspectID{service: service, fingerprint: fingerprint}
	isSuspect, err := q.check(id)
	if err != nil {
		return Pass{}, err
	}
	if !isSuspect || q.crashThreshold > 0 {
		return Pass{q: q, id: id}, nil
	}
	select {
	case q.suspectSem <- struct{}{}:
	case <-ctx.Done():
		return Pass{}, waitError(ctx)
	}
	if _, err := q.check(id); err != nil {
		<-q.suspectSem
		return Pass{}, err
	}
	return Pass{q: q, id: id, holdsSem: true}, nil
}

// check returns an error if the request is blocked, and otherwise reports whether
// it is a suspect.
func (q *Quarantine) check(id suspectID) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.lookup(id)
	if s != nil && s.blocked() {
		q.refused.Inc(1)
		return true, calls.NewNotRun(calls.ReasonQuarantine)
	}
	return s != nil && !s.lifted, nil
}

// Leave records how the request has ended, lets the next suspect run, and reports
// whether a suspect was cleared.
func (p Pass) Leave(end End) (cleared bool) {
	if p.q == nil {
		return false
	}
	if end == Completed {
		cleared = p.q.clearSuspect(p.id)
	}
	if p.holdsSem {
		<-p.q.suspectSem
	}
	return cleared
}

// clearSuspect lifts the entry of a suspect that was answered, and reports whether
// it did. A blocked suspect stays blocked.
func (q *Quarantine) clearSuspect(id suspectID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.lookup(id)
	if s == nil || s.lifted || s.blocked() {
		return false
	}
	q.lift(s)
	q.cleared.Inc(1)
	return true
}

// lift marks an entry as lifted and keeps it for liftedRetention.
func (q *Quarantine) lift(s *suspect) {
	s.lifted, s.soleSuspect = true, false
	s.expires = q.clock.Now().Add(liftedRetention)
}

// RecordCrash records that an upstream crashed while the given requests were in flight.
// A crash counts once for each request, however often and by whomever it is
// reported.
func (q *Quarantine) RecordCrash(service ident.Service, crash uint64, running []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wasSuspect := make([]bool, len(running))
	suspectCount := 0
	for i, fingerprint := range running {
		s := q.lookup(suspectID{service: service, fingerprint: fingerprint})
		wasSuspect[i] = s != nil && !s.lifted && !isOnly(s.crashes, crash)
		if wasSuspect[i] {
			suspectCount++
		}
	}
	for i, fingerprint := range running {
		soleSuspect := q.crashThreshold == 0 && (len(running) == 1 || (suspectCount == 1 && wasSuspect[i]))
		q.addCrash(suspectID{service: service, fingerprint: fingerprint}, crash, soleSuspect)
	}
}

// isOnly reports whether crash is the only element of crashes.
func isOnly(crashes []uint64, crash uint64) bool {
	return len(crashes) == 1 && crashes[0] == crash
}

// addCrash adds a crash to a suspect, creating or recreating its entry, and blocks
// the suspect if the crash gives grounds to. A crash from before the entry was
// lifted is ignored.
func (q *Quarantine) addCrash(id suspectID, crash uint64, soleSuspect bool) {
	s := q.lookup(id)
	if s == nil || s.lifted {
		if s != nil && slices.Contains(s.crashes, crash) {
			return
		}
		recreated := s != nil
		s = q.addSuspect(id)
		s.recreated = recreated
	}
	wasBlocked := s.blocked()
	if !slices.Contains(s.crashes, crash) && len(s.crashes) < maxCrashes {
		s.crashes = append(s.crashes, crash)
	}
	s.soleSuspect = s.soleSuspect || soleSuspect || (q.crashThreshold > 0 && len(s.crashes) >= q.crashThreshold)
	s.expires = q.clock.Now().Add(q.expiry)
	if !wasBlocked && s.blocked() {
		q.blocked.Inc(1)
		q.log.Info("request quarantined", "service", string(id.service),
			"fingerprint", id.fingerprint, "crashes", len(s.crashes))
		q.emit(id, fmt.Sprintf("refused after %d crashes", len(s.crashes)))
	}
}

// emit sends an event about a suspect to the time line.
func (q *Quarantine) emit(id suspectID, note string) {
	q.sink.Emit(events.Event{
		Kind:    events.KindQuarantine,
		Service: id.service,
		Note:    fmt.Sprintf("request %016x %s", id.fingerprint, note),
	})
}

// addSuspect adds an empty entry, replacing one with the same id, and evicts
// another one if the quarantine is full.
func (q *Quarantine) addSuspect(id suspectID) *suspect {
	if _, ok := q.suspects[id]; !ok && len(q.suspects) >= q.maxEntries {
		q.evict()
	}
	s := &suspect{}
	q.suspects[id] = s
	return s
}

// evict deletes one entry: of those that are not blocked, or of all entries if
// all are blocked, the one that expires first.
func (q *Quarantine) evict() {
	var victimID suspectID
	var victim *suspect
	for id, s := range q.suspects {
		if victim == nil || (victim.blocked() && !s.blocked()) ||
			(victim.blocked() == s.blocked() && s.expires.Before(victim.expires)) {
			victimID, victim = id, s
		}
	}
	if victim != nil {
		delete(q.suspects, victimID)
	}
}

// lookup returns the entry of a suspect, or nil if there is none. It deletes an
// entry that has expired.
func (q *Quarantine) lookup(id suspectID) *suspect {
	s := q.suspects[id]
	if s == nil {
		return nil
	}
	if !q.clock.Now().Before(s.expires) {
		delete(q.suspects, id)
		return nil
	}
	return s
}

// IsBlocked reports whether an entry is blocked: requests with its fingerprint
// are refused.
func IsBlocked(s wire.Suspect) bool {
	return !s.Lifted && s.Alone && len(s.Crashes) >= crashesToBlock
}

// ErrNotFound reports that the quarantine has no entry for a fingerprint.
var ErrNotFound = errors.New("no such fingerprint in quarantine")

// Lift lifts the entry of a fingerprint on behalf of an operator. It returns
// ErrNotFound if there is no entry.
func (q *Quarantine) Lift(service ident.Service, fingerprint uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	id := suspectID{service: service, fingerprint: fingerprint}
	s := q.lookup(id)
	if s == nil {
		return ErrNotFound
	}
	q.lift(s)
	q.emit(id, "lifted")
	q.log.Info("quarantine lifted", "service", string(service), "fingerprint", fingerprint)
	return nil
}

// waitError returns the error of a suspect whose context ended before it could
// run.
func waitError(ctx context.Context) *calls.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return calls.NewNotRun(calls.ReasonQueueTimeout, calls.WithCause(ctx.Err()))
	}
	return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(ctx.Err()))
}
