package policy

import "fmt"

// Result says what Apply made of an entry.
type Result uint8

// Results.
const (
	// Accepted means that the entry is in force.
	Accepted Result = iota + 1
	// Duplicate means that the entry was accepted before.
	Duplicate
	// Conflict means that another entry was accepted on the same base.
	Conflict
	// Unsigned means that the signature is not that of the subtree's key.
	Unsigned
	// Foreign means that the entry names a service of another team.
	Foreign
	// Invalid means that the entry is malformed or breaks a rule.
	Invalid
	// Stale means that the state in hand is as new or newer.
	Stale
	// Waiting means that the reader has no whole state yet; the entry counts
	// once a snapshot has come.
	Waiting
)

var resultNames = [...]string{"", "accepted", "duplicate", "conflict", "unsigned", "foreign", "invalid", "stale", "waiting"}

// String returns the result in lower case.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return fmt.Sprintf("result(%d)", uint8(r))
}

// Verdict is what Apply made of one entry.
type Verdict struct {
	result   Result
	team     Team
	revision Revision
	winner   ID
	note     string
}

// Result returns the verdict in one word.
func (v Verdict) Result() Result { return v.result }

// Team returns the subtree concerned, if the entry could be read.
func (v Verdict) Team() Team { return v.team }

// Revision returns the subtree's revision in force after the entry.
func (v Verdict) Revision() Revision { return v.revision }

// Winner returns the id of the entry in force.
func (v Verdict) Winner() ID { return v.winner }

// Note says why in a few words.
func (v Verdict) Note() string { return v.note }

// String returns the verdict as one line.
func (v Verdict) String() string {
	s := fmt.Sprintf("%s: team %s revision %d", v.result, v.team, v.revision)
	if v.note != "" {
		s += ": " + v.note
	}
	return s
}
