package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// ErrNotFound reports a member, service or entry that the daemon does not
// know.
var ErrNotFound = errors.New("not found")

// ErrRefused reports an order that the daemon will not carry out.
var ErrRefused = errors.New("refused")

// Source tells what the daemon knows. Its methods are safe for concurrent use.
type Source interface {
	Status() Status
	// Events returns the daemon's own events from number n onwards.
	Events(n uint64, f *events.Filter) events.Batch
	// SlotsOf returns the slots that a key of a service is or was in: its pin
	// if there is one, and its hash slot. It reports false for an unknown
	// service.
	SlotsOf(service ident.Service, key string) ([]ident.Slot, bool)
	// Quarantine lists the suspect and refused fingerprints.
	Quarantine() []Quarantine
	// Settings returns the accepted settings as JSON.
	Settings() (json.RawMessage, error)
	// WriteTable writes a snapshot of the table for a daemon that boots while
	// the log is down. It serves for routing only.
	WriteTable(w io.Writer) error
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer) error
	// Ready returns why the daemon does not take requests yet, or nil.
	Ready() error
}

// Control carries out operators' orders.
type Control interface {
	// Drain starts to give all slots away; it does not wait.
	Drain(ctx context.Context) error
	// Evict appends an operator's word that a member is gone for good.
	Evict(ctx context.Context, of ident.Incarnation, operator string) error
	// Lift clears a quarantine entry.
	Lift(ctx context.Context, service ident.Service, fingerprint string) error
}
