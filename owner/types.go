package owner

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Held is a range that an upstream reports to hold or to be still working on.
type Held struct {
	Span  atlas.Span
	Fence atlas.Fence
}

// Released is a range that an upstream has released, and its handover token for
// the next owner.
type Released struct {
	Span  atlas.Span
	Token string
}

// Heartbeat is the state that an upstream reports about itself.
type Heartbeat struct {
	// Life identifies one run of the upstream process by its start time, in
	// milliseconds since 1970. A higher value is a new life.
	Life int64
	// ID is the name of the life.
	ID string
	// Number increases with every heartbeat of a life.
	Number uint64
	// Leaving is set when the upstream announces its end.
	Leaving  bool
	Holds    []Held
	Released []Released
}

// Grant is the answer to a heartbeat.
type Grant struct {
	// Known is false while the daemon cannot tell what the upstream may hold.
	// Such an answer neither extends nor withdraws grants.
	Known bool
	Rows  []holds.Range
	// Hold is how long the ranges are granted, counted from the time at which
	// the upstream sent the heartbeat.
	Hold time.Duration
}

// KeyStatus tells where a key is served, as seen by this daemon.
type KeyStatus uint8

// Places.
const (
	// KeyUnowned means that no member owns the key, or that no table was read yet.
	KeyUnowned KeyStatus = iota
	// KeyHeld means that the upstream beside this daemon holds the key.
	KeyHeld
	// KeyPending means that this daemon owns the key and its upstream will hold it
	// shortly.
	KeyPending
	// KeyReleasing means that this daemon gives the key away.
	KeyReleasing
	// KeyRemote means that another member owns the key.
	KeyRemote
)

// String returns the place as it appears in logs.
func (p KeyStatus) String() string {
	switch p {
	case KeyUnowned:
		return "nowhere"
	case KeyHeld:
		return "here"
	case KeyPending:
		return "soon"
	case KeyReleasing:
		return "leaving"
	case KeyRemote:
		return "elsewhere"
	}
	return "invalid"
}

// Message is a gossip message and the host to send it to.
type Message struct {
	To      ident.Host
	Message gossip.Message
}

// Actions are what the caller of Tick must do.
type Actions struct {
	Messages []Message
	// Proposal is the next version of the table, to be written under the
	// condition that the previous version is still the newest; nil if there is
	// none.
	Proposal *atlas.Table
	// SendGrant is set when the waiting heartbeat should be answered now, because
	// grants have changed.
	SendGrant bool
	// Refresh is set when the newest version of the table must be read before
	// anything can be proposed.
	Refresh bool
	// ReadStore is set when the end of the table's topic in the store must be read
	// before the table can be written again.
	ReadStore bool
	// Notes are decisions to be logged.
	Notes []Note
}

// Note is a decision and the values that it is based on, as keys and values for
// a logger.
type Note struct {
	Text  string
	Pairs []any
}

// Outcome is the result of writing a proposal.
type Outcome uint8

// Outcomes.
const (
	// Written means that the proposal is now the newest version.
	Written Outcome = iota + 1
	// Lost means that another version was written first.
	Lost
	// Refused means that nothing was written.
	Refused
	// Unknown means that it may have been written, or may still be.
	Unknown
)
