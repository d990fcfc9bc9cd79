package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Held is a range that an upstream says it holds or still works on.
type Held struct {
	Span  atlas.Span
	Fence atlas.Fence
}

// Released is a range that an upstream has let go of, and its handover token.
type Released struct {
	Span  atlas.Span
	Token string
}

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	// Life is the start of the upstream, in milliseconds since 1970; a later one
	// is a new life.
	Life int64
	// ID names the life.
	ID string
	// Number rises with every heartbeat of a life.
	Number uint64
	// Leaving is set when the upstream announces that it will end.
	Leaving  bool
	Holds    []Held
	Released []Released
}

// Granted is a range that an upstream is to hold.
type Granted struct {
	Span  atlas.Span
	Fence atlas.Fence
	Token string
}

// Grant answers a heartbeat.
type Grant struct {
	// Known is unset while it can't be told what the upstream may hold. The
	// answer then renews nothing and takes nothing away.
	Known bool
	Rows  []Granted
	// Hold is how long the ranges are held, counted from the sending of the
	// heartbeat.
	Hold time.Duration
}

// Place says where a key is.
type Place uint8

// Places.
const (
	// Nowhere means that no member owns the key, or that nothing is known yet.
	Nowhere Place = iota
	// Here means that the upstream beside this daemon holds the key.
	Here
	// Soon means that this daemon owns the key and its upstream will hold it
	// shortly.
	Soon
	// Leaving means that this daemon gives the key away.
	Leaving
	// Elsewhere means that another member owns the key.
	Elsewhere
)

// String returns the place as it appears in logs.
func (p Place) String() string {
	switch p {
	case Nowhere:
		return "nowhere"
	case Here:
		return "here"
	case Soon:
		return "soon"
	case Leaving:
		return "leaving"
	case Elsewhere:
		return "elsewhere"
	}
	return "invalid"
}

// Message is a message to a host.
type Message struct {
	To      ident.Host
	Message gossip.Message
}

// Actions are what the machine wants done.
type Actions struct {
	Messages []Message
	// Proposal is the next version of the table, to be written under the
	// condition that the version before it is the newest; nil for none.
	Proposal *atlas.Table
	// Regrant asks to answer a waiting heartbeat now.
	Regrant bool
	// Refresh asks for the newest version of the table, without which nothing can
	// be proposed.
	Refresh bool
	// Notes are decisions for the log.
	Notes []Note
}

// Note is a decision and what it rests on, as keys and values for a logger.
type Note struct {
	Text  string
	Pairs []any
}

// Outcome is what became of a proposal.
type Outcome uint8

// Outcomes.
const (
	// Written means that the proposal is the newest version.
	Written Outcome = iota + 1
	// Lost means that another version was written first.
	Lost
	// Refused means that nothing was written.
	Refused
	// Unknown means that it may have been written, or may still be.
	Unknown
)
