package holds

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
)

// Range is a range of keys that the upstream is to hold, with its fencing token
// and the handover token of the previous holder.
type Range struct {
	Span  atlas.Span
	Fence atlas.Fence
	Token string
}

// Kind is the kind of a command.
type Kind uint8

// Kinds of commands.
const (
	// Grant grants a range, or renews its grant.
	Grant Kind = iota + 1
	// Release makes the upstream refuse new requests for a range. It is answered
	// when the running ones have ended.
	Release
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Grant:
		return "grant"
	case Release:
		return "release"
	}
	return "invalid"
}

// Command is a call that the daemon makes to the upstream.
type Command struct {
	Kind  Kind
	Range Range
	// Hold is the duration of a grant.
	Hold time.Duration
	// Issued is when the command was returned by Next. If it is sent later, Hold
	// must be reduced by the delay.
	Issued time.Time
	// Renewal is set for a grant of a range that the upstream holds already.
	Renewal bool
	number  uint64
}

// Outcome is what is known of a command after the call.
type Outcome uint8

// Outcomes.
const (
	// Accepted means that the upstream has carried out the command.
	Accepted Outcome = iota + 1
	// Refused means that the upstream has seen a higher fencing token.
	Refused
	// Unanswered means that the command may have been carried out, or may still be.
	Unanswered
	// Unsent means that the upstream has certainly not received the command.
	Unsent
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case Unanswered:
		return "unanswered"
	case Unsent:
		return "unsent"
	}
	return "invalid"
}
