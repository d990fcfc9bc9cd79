package policy

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// ErrNotWhole reports that the log no longer holds all settings: no daemon has
// written a snapshot since the oldest entry that is kept.
var ErrNotWhole = errors.New("the log holds no whole settings")

// ErrUnknown reports that an entry may or may not be on the log. Publishing it
// again under the same id is safe.
var ErrUnknown = errors.New("the entry may have taken effect")

// RejectedError reports an entry that every reader refuses.
type RejectedError struct {
	verdict Verdict
}

// Verdict returns why the entry is refused, and the revision in force.
func (e *RejectedError) Verdict() Verdict { return e.verdict }

// Error implements error.
func (e *RejectedError) Error() string { return e.verdict.String() }

// Record is one entry as it stands on the log.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is a part of the stream.
type Page struct {
	// First is the offset of the oldest entry that is left to read.
	First   uint64
	Records []Record
}

// Log is the platform's stream of settings.
type Log interface {
	// Append adds an entry. After an error the entry may be on the log.
	Append(ctx context.Context, data []byte) error
	// Read returns the entries from an offset to the end of the stream.
	Read(ctx context.Context, from uint64) (Page, error)
}

// pollInterval is the time between two looks for an entry on the log.
const pollInterval = 200 * time.Millisecond

// Publisher puts signed entries on the log and learns what became of them by
// reading, since the log's answer to an append can be lost.
type Publisher struct {
	log    Log
	reader *Follower
	clock  clockwork.Clock
	logger logr.Logger
	// watch is the entry that is being published; verdict and offset are set
	// when it is read.
	watch   ID
	verdict *Verdict
	offset  uint64
}

// PublisherOption sets a detail of a Publisher.
type PublisherOption func(*Publisher)

// WithClock sets the clock for waiting between reads.
func WithClock(clock clockwork.Clock) PublisherOption {
	return func(p *Publisher) { p.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) PublisherOption {
	return func(p *Publisher) { p.logger = logger }
}

// NewPublisher returns a publisher that trusts the given root keys.
func NewPublisher(log Log, roots []ed25519.PublicKey, opts ...PublisherOption) *Publisher {
	p := &Publisher{
		log:    log,
		reader: NewFollower(roots, 0),
		clock:  clockwork.NewRealClock(),
		logger: logr.Discard(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// State reads to the end of the stream and returns the settings in force. It
// returns ErrNotWhole with what is known when that is not everything.
func (p *Publisher) State(ctx context.Context) (*State, error) {
	if err := p.read(ctx); err != nil {
		return p.reader.State(), err
	}
	state := p.reader.State()
	if !state.IsWhole() {
		return state, ErrNotWhole
	}
	return state, nil
}

// Publish puts an entry on the log and returns its verdict and offset once
// they are certain. The error is a *RejectedError when the entry is refused,
// and ErrUnknown when ctx ended before its fate was known.
func (p *Publisher) Publish(ctx context.Context, e Entry) (Verdict, uint64, error) {
	data, err := Encode(e)
	if err != nil {
		return Verdict{}, 0, err
	}
	p.watch, p.verdict = e.ID, nil
	if _, err := p.State(ctx); err != nil && (e.Kind != KindGenesis || !errors.Is(err, ErrNotWhole)) {
		return Verdict{}, 0, fmt.Errorf("read settings: %w", err)
	}
	if p.verdict == nil {
		// A refusal that is certain already needs no append.
		state := p.reader.State()
		if _, v := state.Apply(state.Next(), e); v.Result() != Accepted {
			return v, 0, &RejectedError{verdict: v}
		}
		if err := p.append(ctx, e, data); err != nil {
			return Verdict{}, 0, err
		}
	}
	if p.verdict.Result() != Accepted {
		return *p.verdict, p.offset, &RejectedError{verdict: *p.verdict}
	}
	return *p.verdict, p.offset, nil
}

// append repeats an append until the entry is read back.
func (p *Publisher) append(ctx context.Context, e Entry, data []byte) error {
	appended := false
	for {
		if !appended {
			err := p.log.Append(ctx, data)
			appended = err == nil
			p.logger.V(1).Info("append settings entry", "id", e.ID.String(), "error", err)
		}
		if err := p.read(ctx); err != nil {
			p.logger.V(1).Info("read settings back", "id", e.ID.String(), "error", err)
		}
		if p.verdict != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("publish entry %s: %w: %w", e.ID, ErrUnknown, ctx.Err())
		case <-p.clock.After(pollInterval):
		}
	}
}

// read applies the entries up to the end of the stream.
func (p *Publisher) read(ctx context.Context) error {
	page, err := p.log.Read(ctx, p.reader.State().Next())
	if err != nil {
		return fmt.Errorf("read stream of settings: %w", err)
	}
	p.reader.Gap(page.First)
	for _, r := range page.Records {
		e, v := p.reader.Record(r.Offset, r.Data)
		if e.ID == p.watch && p.verdict == nil {
			p.verdict, p.offset = &v, r.Offset
		}
	}
	return nil
}
