package upstrm

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// View is the part of the member's view of the cluster that the executor needs.
// *core.View implements it.
type View interface {
	// Self returns the member that holds this view.
	Self() ident.Incarnation
	// Lookup returns the shard, epoch and owner of a key hash, or false for an
	// unknown service.
	Lookup(service ident.Service, hash uint64) (table.Target, bool)
	// Serves reports whether this member may run requests of the shard at now,
	// and returns the epoch of its ownership.
	Serves(shard ident.Shard, now time.Time) (ident.Epoch, bool)
	// LeaseLeft returns the remaining time of the member's lease at now.
	LeaseLeft(now time.Time) time.Duration
}

// Source returns the latest view.
type Source func() View
