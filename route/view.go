package route

import (
	"context"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// View is a consistent snapshot of members and ownership. *core.View implements
// it.
type View interface {
	// Self returns the member that holds this view.
	Self() ident.Incarnation
	// Lookup returns the shard of a key hash with its owner and successors.
	// Returns false for an unknown service.
	Lookup(service ident.Service, hash uint64) (table.Target, bool)
	// Serves reports whether this member may run requests of the shard at now.
	Serves(shard ident.Shard, now time.Time) (ident.Epoch, bool)
	// Member returns the member with the given incarnation. Returns false when
	// it is unknown.
	Member(inc ident.Incarnation) (table.Member, bool)
	// Members returns the members that serve a service, in a fixed order.
	Members(service ident.Service) []table.Member
}

// Source returns the newest view. It is called at least once for each call and
// once for each round of retries.
type Source func() View

// Forwarder sends a call to another daemon. peers.Transport implements it.
type Forwarder interface {
	// Forward runs a call at another daemon. Its error is a *calls.Error.
	Forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error)
}
