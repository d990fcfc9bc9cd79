package events

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Kind is the type of an event. The values appear in logs, in JSON and in the
// documentation.
type Kind string

// Kinds of event.
const (
	KindJoin       Kind = "join"
	KindLeave      Kind = "leave"
	KindWitnesses  Kind = "witnesses"
	KindLease      Kind = "lease"
	KindLapse      Kind = "lapse"
	KindVote       Kind = "vote"
	KindFenced     Kind = "fenced"
	KindClaim      Kind = "claim"
	KindTakeover   Kind = "takeover"
	KindStop       Kind = "stop"
	KindMove       Kind = "move"
	KindServe      Kind = "serve"
	KindPin        Kind = "pin"
	KindEvict      Kind = "evict"
	KindSnapshot   Kind = "snapshot"
	KindVoid       Kind = "void"
	KindRestart    Kind = "restart"
	KindSettings   Kind = "settings"
	KindQuarantine Kind = "quarantine"
	KindLimit      Kind = "limit"
	KindShed       Kind = "shed"
	KindUpstream   Kind = "upstream"
	KindPeer       Kind = "peer"
	KindLog        Kind = "log"
	KindDrain      Kind = "drain"
)

// Event is one entry of a time line.
type Event struct {
	// Clock is the hybrid logical clock stamp of the event; the recorder sets it.
	Clock Stamp `cbor:"1,keyasint" json:"clock"`
	// Host is the host of the daemon that recorded the event; the recorder sets
	// it.
	Host ident.Host `cbor:"2,keyasint" json:"host"`
	Kind Kind       `cbor:"3,keyasint" json:"kind"`
	// Service, First and Last give the inclusive range of slots that the event
	// concerns. Service is empty when the event concerns no slot. Last is at least
	// First.
	Service ident.Service `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	First   ident.Slot    `cbor:"5,keyasint,omitempty" json:"first,omitempty"`
	Last    ident.Slot    `cbor:"6,keyasint,omitempty" json:"last,omitempty"`
	// Count is the number of slots when the range from First to Last has gaps.
	Count int `cbor:"7,keyasint,omitempty" json:"count,omitempty"`
	// Slots encodes the slots when the range from First to Last has gaps and the
	// slots are few enough to list; see EncodeSlots.
	Slots string      `cbor:"12,keyasint,omitempty" json:"slots,omitempty"`
	Epoch ident.Epoch `cbor:"8,keyasint,omitempty" json:"epoch,omitempty"`
	// Member is the other member that the event concerns, zero when there is none.
	Member ident.Incarnation `cbor:"9,keyasint,omitempty" json:"member,omitzero"`
	Offset uint64            `cbor:"10,keyasint,omitempty" json:"offset,omitempty"`
	// Note is a short reason for the event, at most MaxNoteBytes bytes once recorded.
	Note string `cbor:"11,keyasint,omitempty" json:"note,omitempty"`
}

// Stamp is a hybrid logical clock reading: wall time in units of 65.536 µs in
// the upper 48 bits, a counter in the lower 16.
type Stamp uint64

// stampUnit is the resolution of the wall time in the upper bits of a stamp.
const stampUnit = 1 << 16 * time.Nanosecond

// Time returns the wall time of the stamp without its counter.
func (s Stamp) Time() time.Time {
	return time.Unix(0, int64(s>>16)*int64(stampUnit))
}

// Sink receives events. Implementations of Emit must not block.
type Sink interface {
	Emit(Event)
}

// Discard is a Sink that discards all events.
type Discard struct{}

// Emit implements Sink.
func (Discard) Emit(Event) {}
