package core

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Input is an event that the machine handles: a control message, a record read
// from the log, an order or the passing of time.
type Input interface{ input() }

// Tick tells the machine that time has passed.
type Tick struct{}

// Received is a control message that a peer has sent.
type Received struct{ Message wire.Message }

// StreamRecord is the next record of the ownership stream, in offset order.
type StreamRecord struct {
	Offset uint64
	Record table.Record
}

// CaughtUp reports that the reader has reached the end of the stream; Next is
// the offset that the next record will have.
type CaughtUp struct{ Next uint64 }

// Gap reports that retention has removed records before they were read. The
// stream now starts at offset First.
type Gap struct{ First uint64 }

// LogState reports whether the log is available.
type LogState struct{ Up bool }

// UpstreamUp reports that the upstream of the daemon accepts requests.
type UpstreamUp struct {
	Slots  uint32
	Checks bool
	Cold   bool
}

// UpstreamDown reports that the upstream is lost and that every grant it held
// has expired.
type UpstreamDown struct{}

// Policy holds the settings in force for a service.
type Policy struct {
	Service ident.Service
	Slots   uint32
	// Places lists the places in which members may own slots of the service;
	// empty means all.
	Places []ident.Place
}

// Idle reports that stopped shards have no request in flight and that their
// idempotency journal has been handed over. Number is that of the Stop that it
// answers.
type Idle struct {
	Shards []ident.Shard
	Number uint64
}

// Drain orders the member to hand over all its slots and leave.
type Drain struct{}

// MoveOrder asks the member to move slots that it owns.
type MoveOrder struct {
	Service ident.Service
	Slots   []ident.Slot
	To      ident.Incarnation
}

// PinOrder asks the member to give a key a slot of its own.
type PinOrder struct {
	Service ident.Service
	Hash    uint64
}

// EvictOrder is an operator's statement that Of has ended for good.
type EvictOrder struct {
	Of       ident.Incarnation
	Operator string
}

func (Tick) input()         {}
func (Received) input()     {}
func (StreamRecord) input() {}
func (CaughtUp) input()     {}
func (Gap) input()          {}
func (LogState) input()     {}
func (UpstreamUp) input()   {}
func (UpstreamDown) input() {}
func (Policy) input()       {}
func (Idle) input()         {}
func (Drain) input()        {}
func (MoveOrder) input()    {}
func (PinOrder) input()     {}
func (EvictOrder) input()   {}
