package core

import (
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Action is an operation that the machine asks the daemon to perform.
type Action interface{ action() }

// Send delivers a control message. Delivery is best effort: the message may be
// lost.
type Send struct {
	To      ident.Incarnation
	Message wire.Message
}

// Append adds a record to the ownership stream. The writer repeats it under
// the same id until the log is known to hold the record or to have refused it.
type Append struct{ Record table.Record }

// Stop ends new requests on shards. The daemon answers with Idle once none of
// their requests is in flight and To has their idempotency journal.
type Stop struct {
	Shards []ident.Shard
	To     ident.Incarnation
	// Number identifies the Stop among those of the member.
	Number uint64
}

// Publish replaces the view that the request path reads.
type Publish struct{ View *View }

// Halt ends the incarnation: the daemon stops all work, lets the grants of its
// upstream expire and starts a new machine under a new incarnation.
type Halt struct{ Reason string }

// Drained reports that a drain is complete: the member owns no slots any more.
type Drained struct{}

// Emit records an event on the time line.
type Emit struct{ Event events.Event }

func (Send) action()    {}
func (Append) action()  {}
func (Stop) action()    {}
func (Publish) action() {}
func (Halt) action()    {}
func (Drained) action() {}
func (Emit) action()    {}
