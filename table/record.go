package table

import "github.com/monsoonmoor/monsoonmoor/ident"

// Kind is the type of a record of the ownership stream.
type Kind uint8

// Kinds of record. The numbers are part of the record format. Records that are
// marked as numbered carry a sequence number, Record.Seq.
const (
	// KindJoin adds a new incarnation with its addresses and its place.
	KindJoin Kind = 1
	// KindWitnesses sets the three witnesses of the writer (numbered, except
	// when the writer has no witnesses yet).
	KindWitnesses Kind = 2
	// KindClaim makes the writer the owner of slots that have no owner, or whose
	// owner and successors are all removed.
	KindClaim Kind = 3
	// KindMove transfers slots of the writer to another member (numbered).
	KindMove Kind = 4
	// KindSuccessors sets new successors for slots of the writer (numbered).
	KindSuccessors Kind = 5
	// KindTakeover makes the writer, a successor, the owner of slots whose owner
	// is removed or fenced.
	KindTakeover Kind = 6
	// KindPin moves one key from a slot of the writer to a slot of its own
	// (numbered).
	KindPin Kind = 7
	// KindLeave removes an incarnation: the writer itself, when it has given up
	// its slots, or another one that two matching votes fence.
	KindLeave Kind = 8
	// KindEvict removes an incarnation by an operator's order.
	KindEvict Kind = 9
	// KindSnapshot carries one chunk of a snapshot of the table.
	KindSnapshot Kind = 10
	// KindService declares a service and its number of hash slots.
	KindService Kind = 11
	// KindRepublish restores slots under the owner that still serves them, after
	// the log's retention has deleted every snapshot (numbered).
	KindRepublish Kind = 12
)

// Record is one entry of the ownership stream. Exactly one of the pointer
// fields is set: the one that Kind names.
type Record struct {
	ID   ident.RecordID `cbor:"1,keyasint"`
	Kind Kind           `cbor:"2,keyasint"`
	// Seq is the sequence number that the writer announced to two witnesses
	// before it appended the record, or zero for records that need none.
	Seq ident.Seq `cbor:"3,keyasint,omitempty"`

	Join        *Member      `cbor:"4,keyasint,omitempty"`
	WitnessList *WitnessList `cbor:"5,keyasint,omitempty"`
	Changes     *Changes     `cbor:"6,keyasint,omitempty"`
	Takeover    *Takeover    `cbor:"7,keyasint,omitempty"`
	Pin         *Pin         `cbor:"8,keyasint,omitempty"`
	Removal     *Removal     `cbor:"9,keyasint,omitempty"`
	Chunk       *Chunk       `cbor:"10,keyasint,omitempty"`
	Service     *Service     `cbor:"11,keyasint,omitempty"`
}

// Member describes one incarnation.
type Member struct {
	Inc     ident.Incarnation `cbor:"1,keyasint"`
	Place   ident.Place       `cbor:"2,keyasint"`
	Region  ident.Region      `cbor:"3,keyasint"`
	Service ident.Service     `cbor:"4,keyasint"`
	// Peer is the UDP address for other daemons.
	Peer string `cbor:"5,keyasint"`
	// Caller is the base URL for callers.
	Caller string `cbor:"6,keyasint"`
	// Admin is the base URL for operators.
	Admin string `cbor:"7,keyasint"`
	// Slots is the upstream's announced number of concurrent requests.
	Slots uint32 `cbor:"8,keyasint"`
	// Checks reports whether the upstream checks fencing tokens.
	Checks bool `cbor:"9,keyasint"`
}

// WitnessList is the payload of a record that sets the writer's witnesses.
type WitnessList struct {
	Witnesses []ident.Incarnation `cbor:"1,keyasint"`
}

// Changes is a batch of slot changes of one service.
type Changes struct {
	Service ident.Service `cbor:"1,keyasint"`
	// To is the new owner (claim, move, republish); unused for successors.
	To    ident.Incarnation `cbor:"2,keyasint"`
	Slots []Change          `cbor:"3,keyasint"`
}

// Change is the new state of one slot. It is void unless the slot's epoch still
// equals Replaces; in a republish record, Replaces is the slot's new epoch.
type Change struct {
	_          struct{} `cbor:",toarray"`
	Slot       ident.Slot
	Replaces   ident.Epoch
	Successors [2]ident.Incarnation
}

// Takeover makes the writer the owner of slots of From. Votes cites two matching
// votes against From, and two against each successor that ranks before the
// writer; none are needed against members that the stream has removed.
type Takeover struct {
	From    ident.Incarnation `cbor:"1,keyasint"`
	Service ident.Service     `cbor:"2,keyasint"`
	Slots   []Change          `cbor:"3,keyasint"`
	Votes   []Vote            `cbor:"4,keyasint"`
}

// Vote is a witness's promise never to renew the lease of the member Of again.
// Seq is the last sequence number that Of announced to the witness.
type Vote struct {
	Witness ident.Incarnation `cbor:"1,keyasint"`
	Of      ident.Incarnation `cbor:"2,keyasint"`
	Seq     ident.Seq         `cbor:"3,keyasint"`
	// Covers lists the slots that the record with the sequence number Seq
	// changes, if the witness knows them. Records that cite the vote omit it.
	Covers []ident.Slot `cbor:"4,keyasint,omitempty"`
}

// Pin assigns the slot Slot to the key with the given hash. The slot starts with
// the owner and successors of the base slot, the hash slot of the key.
type Pin struct {
	Service  ident.Service `cbor:"1,keyasint"`
	Hash     uint64        `cbor:"2,keyasint"`
	Base     ident.Slot    `cbor:"3,keyasint"`
	Replaces ident.Epoch   `cbor:"4,keyasint"`
	Slot     ident.Slot    `cbor:"5,keyasint"`
}

// Removal names the member that a leave or evict record removes.
type Removal struct {
	Inc ident.Incarnation `cbor:"1,keyasint"`
	// Operator is the name of the operator who ordered an eviction.
	Operator string `cbor:"2,keyasint,omitempty"`
	// Votes cites two matching votes if the writer of a leave is not Inc itself.
	Votes []Vote `cbor:"3,keyasint,omitempty"`
}

// Chunk is one of Count pieces of a snapshot, which holds the state of the table
// after the record at offset At.
type Chunk struct {
	At    uint64 `cbor:"1,keyasint"`
	Index uint32 `cbor:"2,keyasint"`
	Count uint32 `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint"`
}

// Service declares a service with its number of hash slots, a power of two.
type Service struct {
	Name  ident.Service `cbor:"1,keyasint"`
	Slots uint32        `cbor:"2,keyasint"`
}
