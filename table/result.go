package table

import "github.com/monsoonmoor/monsoonmoor/ident"

// Reason is why a record, or one of its slot changes, is void.
type Reason uint8

// Reasons for which a record or a slot change is void.
const (
	// ReasonNone marks a record that was applied in full.
	ReasonNone Reason = iota
	// ReasonDuplicate marks a record whose id was seen before.
	ReasonDuplicate
	// ReasonMalformed marks a record that does not conform to the record format.
	ReasonMalformed
	// ReasonUnknownWriter marks a record of a member that never joined.
	ReasonUnknownWriter
	// ReasonWriterGone marks a record of a member that left, was fenced or was
	// evicted.
	ReasonWriterGone
	// ReasonStaleSeq marks a record whose sequence number is not above the
	// writer's highest one.
	ReasonStaleSeq
	// ReasonEpochMismatch marks a change whose Replaces does not fit the slot's epoch.
	ReasonEpochMismatch
	// ReasonNotOwner marks a change by a member that does not own the slot.
	ReasonNotOwner
	// ReasonOwned marks a claim of a slot that has an owner.
	ReasonOwned
	// ReasonNotSuccessor marks a takeover by a member that is no successor of
	// the slot, or from a member that does not own it.
	ReasonNotSuccessor
	// ReasonMissingVotes marks a takeover or removal without two matching votes.
	ReasonMissingVotes
	// ReasonUnknownMember marks a record about a member that is not in the table or
	// has been removed.
	ReasonUnknownMember
	// ReasonNoWitnesses marks a record whose new owner has no witnesses yet.
	ReasonNoWitnesses
	// ReasonUnknownService marks a record about an undeclared service.
	ReasonUnknownService
	// ReasonExists marks a member, service or pin that exists already.
	ReasonExists
	// ReasonLimit marks a record that would exceed a limit of the table.
	ReasonLimit
)

var reasonNames = [...]string{
	"none", "duplicate", "malformed", "unknown-writer", "writer-gone",
	"stale-seq", "epoch", "not-owner", "owned", "not-successor", "votes",
	"unknown-member", "no-witnesses", "unknown-service", "exists",
	"limit",
}

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Result is the effect of applying one record.
type Result struct {
	// Applied reports that the record changed the table; a batch counts as
	// applied when one of its changes did.
	Applied bool
	// Reason is why the record, or its first void change, is void.
	Reason Reason
	// Changed lists the shards whose owner, epoch or successors changed.
	Changed []ident.Shard
	// Void lists the shards of the batch whose change was void.
	Void []ident.Shard
}
