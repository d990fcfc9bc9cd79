package cmds

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/policy"
)

// ErrRefused reports an order that a daemon will not carry out.
var ErrRefused = errors.New("refused")

// DialLog returns the stream of settings on the log at url, and what closes
// it.
type DialLog func(url string) (policy.Log, io.Closer, error)

// DialOperator returns a client of daemons' operator listeners that shows the
// token with every order.
type DialOperator func(token string) Operator

// WithLog sets how the log is reached.
func WithLog(dial DialLog) Option { return func(p *Program) { p.dialLog = dial } }

// WithOperator sets how operator listeners are reached.
func WithOperator(dial DialOperator) Option { return func(p *Program) { p.operator = dial } }

// Report is what daemons told, for a person or a program to read.
type Report interface {
	WriteText(w io.Writer) error
	WriteJSON(w io.Writer) error
}

// PageReport is a Report that can be looked at.
type PageReport interface {
	Report
	// WriteHTML writes one page that needs nothing else.
	WriteHTML(w io.Writer) error
	// Missing lists the daemons that did not answer.
	Missing() []string
}

// Query selects events of the time line. Zero fields select everything.
type Query struct {
	Service ident.Service
	// Slots and Key select within Service.
	Slots []ident.Slot
	Key   string
	Hosts []ident.Host
	// Since selects the events of the last time span.
	Since time.Duration
	// Why selects the events that explain where the key or slot is.
	Why bool
}

// Revisions is which team settings a daemon has in force.
type Revisions struct {
	Host ident.Host
	// InForce is the revision of each team's subtree.
	InForce map[string]uint64
	// Members lists the operator listeners of all members that the daemon knows.
	Members []string
}

// Operator talks to the operator listeners of daemons, each named by its base
// URL. An order that a daemon will not carry out ends in ErrRefused.
type Operator interface {
	Status(ctx context.Context, base string) (Report, error)
	Revisions(ctx context.Context, base string) (Revisions, error)
	Timeline(ctx context.Context, bases []string, query Query) (PageReport, error)
	Quarantine(ctx context.Context, base string) (Report, error)
	Lift(ctx context.Context, base string, service ident.Service, fingerprint string) error
	Drain(ctx context.Context, base string) error
	Evict(ctx context.Context, base string, of ident.Incarnation, operator string) error
}
