package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// MaxMessage is the largest encoded message in bytes.
const MaxMessage = 8 << 10

// Message is one datagram between two daemons. Fields that are not set mean
// nothing.
type Message struct {
	From ident.Incarnation `cbor:"1,keyasint"`
	// Entries is what the sender knows of the fleet.
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	// Beats are the counters of daemons that the receiver may know already.
	Beats []Beat `cbor:"8,keyasint,omitempty"`
	// Want asks for the entries of runs that the sender does not know.
	Want []uint32 `cbor:"10,keyasint,omitempty"`
	// Renewal asks a witness to renew the sender's lease; Renewed answers it.
	Renewal *Renewal `cbor:"3,keyasint,omitempty"`
	Renewed *Renewal `cbor:"4,keyasint,omitempty"`
	// Ballot asks a witness whether a lease has ended; Vote answers yes.
	Ballot *Ballot `cbor:"5,keyasint,omitempty"`
	Vote   *Ballot `cbor:"6,keyasint,omitempty"`
	// Changed tells that the sender has a newer version of a topic. Urgent is set
	// when it concerns the receiver.
	Changed *Version `cbor:"7,keyasint,omitempty"`
	Urgent  bool     `cbor:"9,keyasint,omitempty"`
	// Request asks the receiver to write changes of the ownership table.
	Request *Request `cbor:"11,keyasint,omitempty"`
	// Suspects are requests that were in flight when upstreams crashed.
	Suspects *wire.Suspects `cbor:"12,keyasint,omitempty"`
}

// Request is what a member wants written into the ownership table. It counts only
// while the table still says what the member has read.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Service
	// Owner is the lease of the member that asks.
	Owner ident.Incarnation
	// Moves are the next owners of ranges that its upstream has let go of. The
	// member is bound by them: it never grants these ranges again.
	Moves []Move
	// Join is set while the member is not in the table.
	Join *Join
	// Leave is set when the member wants no keys; it ends once it owns none.
	Leave bool
}

// Join makes the member that asks one of the table.
type Join struct {
	_         struct{} `cbor:",toarray"`
	Witnesses []ident.Incarnation
	// Before is the run on the same host that the table named; zero for none.
	Before ident.Incarnation
	// Version is the version of the table that the member has read.
	Version uint64
	// Renew is set when its upstream does not hold what the run before owned.
	Renew bool
}

// Move is a range of keys, both ends included, that gets another owner.
type Move struct {
	_    struct{} `cbor:",toarray"`
	From uint32
	To   uint32
	// Fence is the fencing token of the row that the range belongs to; the move is
	// void once the row has another one.
	Fence uint64
	Taker ident.Host
	// Token is what the upstream handed over; empty for nothing.
	Token string
	// Rate is the load of the range, in calls per second.
	Rate float32
}

// Beat is the counter of one daemon, in the few bytes that let every message carry
// those of many.
type Beat struct {
	_ struct{} `cbor:",toarray"`
	// Run names a run of a daemon; see runOf.
	Run uint32
	// Count is the counter of its newest entry.
	Count uint64
}

// Renewal is one renewal of a lease.
type Renewal struct {
	_ struct{} `cbor:",toarray"`
	// Number tells the renewals of a member apart.
	Number uint64
}

// Ballot is a vote on whether an owner's lease has ended.
type Ballot struct {
	_     struct{} `cbor:",toarray"`
	Owner ident.Incarnation
	// Witness is the run of a daemon that the owner's lease names. It may be an
	// earlier run of the daemon that is asked.
	Witness ident.Incarnation
}

// Encode returns the message's CBOR form.
func (m Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("encode message: %d bytes, at most %d allowed", len(data), MaxMessage)
	}
	return data, nil
}

// DecodeMessage reads the CBOR form of a message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}
