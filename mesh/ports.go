package mesh

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/store"
	"github.com/monsoonmoor/monsoonmoor/upconn"
	"github.com/monsoonmoor/monsoonmoor/vhost"
)

// ConfigSource says where the operators' configuration is stored and how it is decoded.
// Their evacuations of zones are in the same topic.
type ConfigSource struct {
	// Topic and Key locate the newest configuration in the store.
	Topic, Key string
	// EvacuationPrefix and the name of an availability zone are the key of the record
	// that evacuates the zone for as long as it exists; empty if there are none.
	EvacuationPrefix string
	// Decode parses a configuration. The error names the invalid field.
	Decode func(data []byte) (*vhost.RoutingConfig, error)
}

// Ports are the adapters through which a node reaches the store, the upstream and the
// configuration.
type Ports struct {
	Store   store.Port
	Dialect upconn.Dialect
	Config  ConfigSource
	// Keys is used if Settings.GrantsByCall is set.
	Keys KeyCalls
}

// Peers sends requests to other daemons. *peers.Web implements it.
type Peers interface {
	Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error)
	Document(ctx context.Context, addr, name string) (data []byte, version uint64, err error)
	Shutdown(ctx context.Context) error
	Close() error
}

// Option configures a Node.
type Option func(*Node)

// WithClock sets the clock. The clock must also count the time during which the host is
// suspended.
func WithClock(clock clockwork.Clock) Option { return func(n *Node) { n.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(n *Node) { n.log = log } }

// WithScope sets the scope for metrics.
func WithScope(scope tally.Scope) Option { return func(n *Node) { n.scope = scope } }
