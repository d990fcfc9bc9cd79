// Package wire defines the control messages between daemons and their CBOR
// form. Requests that one daemon forwards to another are not control messages:
// see package calls.
//
// # Usage
//
//	data, err := wire.Encode(wire.Message{From: self, Renew: &wire.Renew{Round: 7}})
//	msg, err := wire.Decode(data)
package wire

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// MaxMessage is the largest encoded control message in bytes.
const MaxMessage = 256 << 10

// Message is one control message. From is the sender; exactly one of the
// pointer fields is set.
type Message struct {
	From ident.Incarnation `cbor:"1,keyasint"`
	// To guards against a message that reaches a later incarnation.
	To ident.Incarnation `cbor:"2,keyasint"`
	// Clock is the sender's hybrid logical clock, see package events.
	Clock uint64 `cbor:"3,keyasint,omitempty"`

	Renew    *Renew      `cbor:"10,keyasint,omitempty"`
	Grant    *Grant      `cbor:"11,keyasint,omitempty"`
	Fenced   *Fenced     `cbor:"12,keyasint,omitempty"`
	Vote     *table.Vote `cbor:"13,keyasint,omitempty"`
	VoteAsk  *VoteAsk    `cbor:"14,keyasint,omitempty"`
	Ping     *Ping       `cbor:"15,keyasint,omitempty"`
	Pong     *Pong       `cbor:"16,keyasint,omitempty"`
	Offer    *Offer      `cbor:"17,keyasint,omitempty"`
	Answer   *Answer     `cbor:"18,keyasint,omitempty"`
	Journal  *Journal    `cbor:"19,keyasint,omitempty"`
	Suspects *Suspects   `cbor:"20,keyasint,omitempty"`
	Evict    *Evict      `cbor:"21,keyasint,omitempty"`
}

// Renew asks a witness to extend the sender's lease. Seq is the highest
// number that the sender has announced.
type Renew struct {
	Round uint64    `cbor:"1,keyasint"`
	Seq   ident.Seq `cbor:"2,keyasint"`
	// Covers lists the slots that the record numbered Seq is about while that
	// record may still be on its way to the stream; empty when it is about
	// anything else.
	Covers []ident.Slot `cbor:"3,keyasint,omitempty"`
}

// Grant answers the renewal of the same round. Seq is the highest number
// that the witness has heard from the member.
type Grant struct {
	Round uint64    `cbor:"1,keyasint"`
	Seq   ident.Seq `cbor:"2,keyasint"`
}

// Fenced tells a member that the witness has voted against it.
type Fenced struct {
	Round uint64 `cbor:"1,keyasint"`
}

// VoteAsk asks a witness for its vote about Of. A member that leaves asks it
// about itself, which the witness grants at once.
type VoteAsk struct {
	Of ident.Incarnation `cbor:"1,keyasint"`
}

// Ping probes a peer.
type Ping struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping with the load that the peer measures itself.
type Pong struct {
	Nonce uint64 `cbor:"1,keyasint"`
	Load  Load   `cbor:"2,keyasint"`
}

// Load is what a daemon measures of its own upstream.
type Load struct {
	Service ident.Service `cbor:"1,keyasint"`
	// Busy is the mean number of requests that run.
	Busy float64 `cbor:"2,keyasint"`
	// Queued is the mean number of requests that wait.
	Queued float64 `cbor:"3,keyasint"`
	// Limit is the concurrency limit in force.
	Limit float64 `cbor:"4,keyasint"`
	// Rate is that of arrivals, in requests per second.
	Rate float64 `cbor:"5,keyasint"`
	// Owned is the number of slots owned.
	Owned uint32 `cbor:"6,keyasint"`
	// Cold reports an upstream in its slow start.
	Cold bool `cbor:"7,keyasint"`
	// Leaving reports a member that drains.
	Leaving bool `cbor:"8,keyasint"`
}

// Offer proposes to move slots to the receiver.
type Offer struct {
	Nonce   uint64        `cbor:"1,keyasint"`
	Service ident.Service `cbor:"2,keyasint"`
	Slots   []ident.Slot  `cbor:"3,keyasint"`
	// Rate is the load that the slots carry, in requests per second.
	Rate float64 `cbor:"4,keyasint"`
	// Load is that of the sender.
	Load Load `cbor:"5,keyasint"`
}

// Answer accepts or declines an Offer. Accepted is the number of slots, from
// the front of the offer, that the receiver takes.
type Answer struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Accepted uint32 `cbor:"2,keyasint"`
}

// Journal carries idempotency entries of one shard: intents to a successor,
// or the whole journal at a hand-over.
type Journal struct {
	Shard ident.Shard `cbor:"1,keyasint"`
	// Transfer is set at a hand-over; Last marks its final part.
	Transfer bool    `cbor:"2,keyasint,omitempty"`
	Last     bool    `cbor:"3,keyasint,omitempty"`
	Entries  []Entry `cbor:"4,keyasint"`
}

// Entry is one idempotency key as the journal knows it.
type Entry struct {
	Key [16]byte `cbor:"1,keyasint"`
	// Request is the fingerprint of the request that used the key.
	Request uint64 `cbor:"2,keyasint"`
	// Age is the time since the key was first seen.
	Age time.Duration `cbor:"3,keyasint"`
	// State is one of the calls.Entry states.
	State  uint8 `cbor:"4,keyasint"`
	Status int   `cbor:"5,keyasint,omitempty"`
	// Body is the stored answer where it is small enough to keep.
	Body []byte `cbor:"6,keyasint,omitempty"`
	Type string `cbor:"7,keyasint,omitempty"`
}

// Suspects reports request fingerprints that were in flight when an upstream
// crashed, or that are quarantined.
type Suspects struct {
	Items []Suspect `cbor:"1,keyasint"`
}

// Suspect is one fingerprint with the crashes that it was present at.
type Suspect struct {
	Service     ident.Service `cbor:"1,keyasint"`
	Fingerprint uint64        `cbor:"2,keyasint"`
	// Crashes lists an id for each crash, so that a report counts once.
	Crashes []uint64 `cbor:"3,keyasint"`
	// Alone reports that no other request ran at one of the crashes.
	Alone bool `cbor:"4,keyasint"`
	// Left is the time until the entry expires.
	Left time.Duration `cbor:"5,keyasint"`
	// Lifted is set when an operator cleared the entry.
	Lifted bool `cbor:"6,keyasint,omitempty"`
}

// Evict is an operator's order to append an eviction.
type Evict struct {
	Of       ident.Incarnation `cbor:"1,keyasint"`
	Operator string            `cbor:"2,keyasint"`
}

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("encode control message: %d bytes, at most %d allowed", len(data), MaxMessage)
	}
	return data, nil
}

// Decode reads the CBOR form of a message.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxMessage {
		return m, fmt.Errorf("decode control message: %d bytes, at most %d allowed", len(data), MaxMessage)
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("decode control message: %w", err)
	}
	return m, nil
}
