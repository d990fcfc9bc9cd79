package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// MaxMessage is the maximum size of an encoded message in bytes.
const MaxMessage = 8 << 10

// Message is the content of one datagram between two daemons. All fields except From are optional.
type Message struct {
	From ident.Incarnation `cbor:"1,keyasint"`
	// Entries are entries of daemons, the sender's own and others that it knows.
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	// Beats are the heartbeat counters of daemons whose entries the receiver may have already.
	Beats []Beat `cbor:"8,keyasint,omitempty"`
	// WantRuns asks for the entries of runs that are unknown to the sender; see Beat.Run.
	WantRuns []uint32 `cbor:"10,keyasint,omitempty"`
	// Renewal asks a witness to renew the sender's lease. Renewed is the witness's answer.
	Renewal *Renewal `cbor:"3,keyasint,omitempty"`
	Renewed *Renewal `cbor:"4,keyasint,omitempty"`
	// TableEra is sent with Renewal: the era of the store of which the sender has read its ownership table, plus one. It
	// is 0 from daemons that do not tell.
	TableEra uint64 `cbor:"13,keyasint,omitempty"`
	// Ballot asks a witness whether a lease has ended. Vote is the answer of a witness that confirms it.
	Ballot *Ballot `cbor:"5,keyasint,omitempty"`
	Vote   *Ballot `cbor:"6,keyasint,omitempty"`
	// Changed announces that the sender has a newer version of a topic. Urgent is set when the change concerns the
	// receiver.
	Changed *Version `cbor:"7,keyasint,omitempty"`
	Urgent  bool     `cbor:"9,keyasint,omitempty"`
	// Request asks the receiver to write changes of the ownership table.
	Request *Request `cbor:"11,keyasint,omitempty"`
	// Suspects are requests that were in flight when upstreams crashed.
	Suspects *wire.Suspects `cbor:"12,keyasint,omitempty"`
}

// Request asks for changes of the ownership table on behalf of a member. It is valid only while the table still matches
// what the member has read.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Service
	// Owner is the lease of the requesting member.
	Owner ident.Incarnation
	// Moves assign new owners to ranges that the member's upstream has released. They are binding: the member never
	// grants these ranges again.
	Moves []Move
	// Join is set while the member is not in the table.
	Join *Join
	// Leave is set when the member wants to own no more keys. The member stops once it owns none.
	Leave bool
}

// Join adds the requesting member to the ownership table.
type Join struct {
	_         struct{} `cbor:",toarray"`
	Witnesses []ident.Incarnation
	// Before is the previous run on the same host that is in the table, or zero if there is none.
	Before ident.Incarnation
	// Version is the version of the table that the member has read.
	Version uint64
	// Renew is set when the member's upstream does not hold what the previous run owned.
	Renew bool
}

// Move transfers a range of keys, both ends included, to another owner.
type Move struct {
	_    struct{} `cbor:",toarray"`
	From uint32
	To   uint32
	// Fence is the fencing token of the table row that contains the range. The move is void once the token of the
	// row has changed.
	Fence uint64
	Taker ident.Host
	// Token is the token that the releasing upstream handed over with the range, empty for none.
	Token string
	// Rate is the load of the range, in calls per second.
	Rate float32
}

// Beat is the heartbeat counter of one daemon. It takes only a few bytes, so that every message can carry the counters
// of many daemons.
type Beat struct {
	_ struct{} `cbor:",toarray"`
	// Run identifies a run of a daemon by a hash of its incarnation; see hashRun.
	Run uint32
	// Count is the value of the counter.
	Count uint64
}

// Renewal identifies one renewal of a lease.
type Renewal struct {
	_ struct{} `cbor:",toarray"`
	// Number distinguishes the renewals of one member.
	Number uint64
}

// Ballot is a vote on whether an owner's lease has ended.
type Ballot struct {
	_     struct{} `cbor:",toarray"`
	Owner ident.Incarnation
	// Witness is the incarnation of the witness in the owner's lease. It may be an earlier run of the daemon that
	// receives the ballot.
	Witness ident.Incarnation
}

// IsOutdated reports whether the message renews a lease of an earlier era of the store than the given one.
func (m Message) IsOutdated(era uint64) bool { return m.TableEra != 0 && m.TableEra <= era }

// Encode returns the message in CBOR, or an error if it exceeds MaxMessage.
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

// DecodeMessage decodes a message from CBOR.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}
