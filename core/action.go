package core

import (
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Action is one thing that the machine wants done.
type Action interface{ action() }

// Send delivers a control message, or loses it.
type Send struct {
	To      ident.Incarnation
	Message wire.Message
}

// Append adds a record to the ownership stream. The writer repeats it under
// the same id until it is known to be on the log or to be refused.
type Append struct{ Record table.Record }

// Stop ends new work on shards; the daemon answers with Idle once nothing is
// in flight and the journal is at To.
type Stop struct {
	Shards []ident.Shard
	To     ident.Incarnation
	// Number tells the stops of a member apart.
	Number uint64
}

// Publish replaces the view that the request path uses.
type Publish struct{ View *View }

// Halt ends the incarnation: the daemon stops all work, lets grants expire
// and starts a new machine under a new incarnation.
type Halt struct{ Reason string }

// Left reports that a drain is complete: the member owns nothing.
type Left struct{}

// Emit records an event on the time line.
type Emit struct{ Event events.Event }

func (Send) action()    {}
func (Append) action()  {}
func (Stop) action()    {}
func (Publish) action() {}
func (Halt) action()    {}
func (Left) action()    {}
func (Emit) action()    {}
