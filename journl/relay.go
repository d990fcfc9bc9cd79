package journl

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Ack says how many successors must confirm an intent before it runs.
type Ack uint8

// Policies of confirmation; the package comment says what each one costs.
const (
	AckAll Ack = iota
	AckAny
	AckNone
)

const (
	// defaultBound is how long a confirmation is waited for.
	defaultBound = 50 * time.Millisecond
	// resendTime is when an unconfirmed message is sent again.
	resendTime = 10 * time.Millisecond
)

// ErrNoAck reports that too few successors confirmed in time.
var ErrNoAck = errors.New("journal entry not confirmed by the successors")

// Sender delivers journal messages, or loses them. It never blocks.
type Sender interface {
	SendJournal(to ident.Incarnation, m *wire.Journal)
}

// Successors returns the members that may take a shard over.
type Successors func(shard ident.Shard) []ident.Incarnation

// Relay is the Replicator that reaches other daemons.
type Relay struct {
	sender     Sender
	successors Successors
	clock      clockwork.Clock
	ack        Ack
	bound      time.Duration

	mu      sync.Mutex
	next    uint64
	boot    uint64
	waiting map[[16]byte]chan<- struct{}
}

var _ Replicator = (*Relay)(nil)

// RelayOption changes a Relay.
type RelayOption func(*Relay)

// WithRelayClock sets the clock for the bounds on waiting.
func WithRelayClock(clock clockwork.Clock) RelayOption { return func(r *Relay) { r.clock = clock } }

// WithAck sets how many successors must confirm.
func WithAck(ack Ack) RelayOption { return func(r *Relay) { r.ack = ack } }

// WithBound sets how long confirmations are waited for.
func WithBound(d time.Duration) RelayOption { return func(r *Relay) { r.bound = d } }

// NewRelay returns a relay that sends to the successors of each shard.
func NewRelay(sender Sender, successors Successors, opts ...RelayOption) *Relay {
	r := &Relay{
		sender:     sender,
		successors: successors,
		clock:      clockwork.NewRealClock(),
		bound:      defaultBound,
		boot:       rand.Uint64(),
		waiting:    make(map[[16]byte]chan<- struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Replicate implements Replicator.
func (r *Relay) Replicate(ctx context.Context, shard ident.Shard, epoch ident.Epoch, entries []wire.Entry) error {
	to := r.successors(shard)
	if r.ack == AckNone || len(to) == 0 {
		r.Update(shard, epoch, entries)
		return nil
	}
	need := len(to)
	if r.ack == AckAny {
		need = 1
	}
	return r.confirm(ctx, to, need, message(shard, epoch, entries))
}

// Update implements Replicator.
func (r *Relay) Update(shard ident.Shard, epoch ident.Epoch, entries []wire.Entry) {
	for _, inc := range r.successors(shard) {
		m := message(shard, epoch, entries)
		m.Entries[0].Key = r.number()
		r.sender.SendJournal(inc, m)
	}
}

// Transfer sends a shard's whole journal to a member and waits until every
// part is confirmed or ctx ends.
func (r *Relay) Transfer(ctx context.Context, to ident.Incarnation, parts []*wire.Journal) error {
	for _, part := range parts {
		if err := r.confirmWithin(ctx, []ident.Incarnation{to}, 1, part); err != nil {
			return fmt.Errorf("transfer journal of %s to %s: %w", part.Shard, to, err)
		}
	}
	return nil
}

// Acked takes a confirmation that a successor sent back. It reports whether
// the message was one.
func (r *Relay) Acked(m *wire.Journal) bool {
	if m == nil || len(m.Entries) != 1 || m.Entries[0].State != stateAck {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if done, ok := r.waiting[m.Entries[0].Key]; ok {
		done <- struct{}{}
		delete(r.waiting, m.Entries[0].Key)
	}
	return true
}

// message puts a header in front of entries. Its floor is so old that it
// changes nothing at the receiver.
func message(shard ident.Shard, epoch ident.Epoch, entries []wire.Entry) *wire.Journal {
	all := make([]wire.Entry, 0, len(entries)+1)
	all = append(all, wire.Entry{Request: uint64(epoch), State: stateHeader, Age: 24 * time.Hour})
	return &wire.Journal{Shard: shard, Entries: append(all, entries...)}
}

func (r *Relay) number() [16]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	var id [16]byte
	binary.BigEndian.PutUint64(id[:8], r.boot)
	binary.BigEndian.PutUint64(id[8:], r.next)
	return id
}

func (r *Relay) confirm(ctx context.Context, to []ident.Incarnation, need int, m *wire.Journal) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, r.bound)
	defer cancel()
	return r.confirmWithin(ctx, to, need, m)
}

// pending is one message that waits for its confirmation.
type pending struct {
	to ident.Incarnation
	m  *wire.Journal
}

// confirmWithin sends m to each member, again and again, until enough of them
// have confirmed it or ctx ends.
func (r *Relay) confirmWithin(ctx context.Context, to []ident.Incarnation, need int, m *wire.Journal) error {
	confirmed := make(chan struct{}, len(to))
	all := make([]pending, len(to))
	for i, inc := range to {
		all[i] = r.send(inc, m, confirmed)
	}
	defer r.forget(all)
	ticker := r.clock.NewTicker(resendTime)
	defer ticker.Stop()
	for need > 0 {
		select {
		case <-confirmed:
			need--
		case <-ticker.Chan():
			r.resend(all)
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoAck, ctx.Err())
		}
	}
	return nil
}

// send numbers a copy of m and sends it for the first time.
func (r *Relay) send(to ident.Incarnation, m *wire.Journal, confirmed chan<- struct{}) pending {
	numbered := *m
	numbered.Entries = append([]wire.Entry(nil), m.Entries...)
	numbered.Entries[0].Key = r.number()
	r.mu.Lock()
	r.waiting[numbered.Entries[0].Key] = confirmed
	r.mu.Unlock()
	r.sender.SendJournal(to, &numbered)
	return pending{to: to, m: &numbered}
}

// resend sends again what is not confirmed.
func (r *Relay) resend(all []pending) {
	for _, p := range all {
		r.mu.Lock()
		_, waits := r.waiting[p.m.Entries[0].Key]
		r.mu.Unlock()
		if waits {
			r.sender.SendJournal(p.to, p.m)
		}
	}
}

// forget ends the wait for messages that were not confirmed.
func (r *Relay) forget(all []pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range all {
		delete(r.waiting, p.m.Entries[0].Key)
	}
}
