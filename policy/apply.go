package policy

import (
	"crypto/ed25519"
	"fmt"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Apply returns the state after the entry at offset, and what was made of it.
// Entries must come in offset order. One whose offset was applied before is a
// no-op; one that leaves out offsets makes the state wait for a snapshot.
func (s *State) Apply(offset uint64, e Entry) (*State, Verdict) {
	if offset < s.next {
		return s, Verdict{result: Stale, note: fmt.Sprintf("offset %d was applied before", offset)}
	}
	n := s.clone()
	switch {
	case offset > s.next:
		n.skip(offset)
	case offset == firstOffset:
		n.begin()
	}
	n.next = offset + 1
	switch {
	case e.Kind == KindSnapshot:
		return n, n.applySnapshot(offset, e)
	case e.Kind == KindGenesis:
		return n, n.applyGenesis(e)
	case !n.whole:
		n.boot = n.boot.keep(offset, e)
		return n, Verdict{result: Waiting, note: "no whole state yet"}
	}
	return n, n.applySigned(offset, e)
}

// applySigned applies a change or a key entry to a whole state.
func (s *State) applySigned(offset uint64, e Entry) Verdict {
	if len(e.Body) > MaxBody {
		return invalid("body of %d bytes, at most %d allowed", len(e.Body), MaxBody)
	}
	switch e.Kind {
	case KindKey:
		return s.applyKey(e)
	case KindChange:
		return s.applyChange(offset, e)
	case KindSnapshot, KindGenesis:
	}
	return invalid("kind %d is not known", e.Kind)
}

func invalid(format string, args ...any) Verdict {
	return Verdict{result: Invalid, note: fmt.Sprintf(format, args...)}
}

// verdict returns a verdict on a team's subtree as it now stands.
func (s *State) verdict(result Result, team Team, format string, args ...any) Verdict {
	v := Verdict{result: result, team: team, note: fmt.Sprintf(format, args...)}
	if t, ok := s.teams[team]; ok {
		v.revision = t.revision
		if t.change != nil {
			v.winner = t.change.ID
		}
	}
	return v
}

// applyKey gives a team its first or next key.
func (s *State) applyKey(e Entry) Verdict {
	var grant KeyGrant
	if err := decoder.Unmarshal(e.Body, &grant); err != nil {
		return invalid("key entry: %v", err)
	}
	if note := grant.problem(); note != "" {
		return invalid("%s", note)
	}
	old := s.teams[grant.Team]
	next, note := old.withKey(s.roots, e, grant)
	if note != "" {
		return s.verdict(Unsigned, grant.Team, "%s", note)
	}
	if old == nil && len(s.teams) >= maxTeams {
		return s.verdict(Invalid, grant.Team, "%d teams, no more allowed", maxTeams)
	}
	if number := old.keyNumber(); grant.Number != number+1 {
		if old != nil && old.keys[len(old.keys)-1].ID == e.ID {
			return s.verdict(Duplicate, grant.Team, "")
		}
		return s.verdict(Conflict, grant.Team, "key %d, the key in force is %d", grant.Number, number)
	}
	s.put(grant.Team, next)
	return s.verdict(Accepted, grant.Team, "key %d", grant.Number)
}

// problem returns what is wrong with the grant, or "".
func (g *KeyGrant) problem() string {
	switch {
	case !strict.IsName(string(g.Team)):
		return fmt.Sprintf("team %q, %s allowed", g.Team, strict.NameRule)
	case len(g.Key) != ed25519.PublicKeySize:
		return fmt.Sprintf("key of %d bytes, %d needed", len(g.Key), ed25519.PublicKeySize)
	case g.Number == 0:
		return "key 0, numbers start from 1"
	}
	return ""
}

// keyNumber returns the number of the key in force; t may be nil.
func (t *subtree) keyNumber() uint64 {
	if t == nil {
		return 0
	}
	return t.number
}

// withKey returns the subtree with the granted key in force, or why the
// signature is not enough. A nil t is a team that has no key yet.
func (t *subtree) withKey(roots []ed25519.PublicKey, e Entry, grant KeyGrant) (*subtree, string) {
	next := &subtree{}
	if t != nil {
		*next = *t
	}
	next.number, next.key = grant.Number, grant.Key
	switch {
	case e.signedByAny(roots):
		next.keys = []Entry{e}
	case t == nil || !e.signedBy(t.key):
		return nil, "not signed by the root key or the team's key in force"
	case len(t.keys) > maxRotations:
		return nil, fmt.Sprintf("%d rotations since the root key signed, the root key must sign the next", maxRotations)
	default:
		next.keys = slices.Concat(t.keys, []Entry{e})
	}
	return next, ""
}

// applyChange replaces a team's subtree.
func (s *State) applyChange(offset uint64, e Entry) Verdict {
	var d Document
	if err := decoder.Unmarshal(e.Body, &d); err != nil {
		return invalid("change: %v", err)
	}
	t, ok := s.teams[d.Team]
	if !ok {
		return s.verdict(Unsigned, "", "the team has no key")
	}
	if !e.signedBy(t.key) {
		return s.verdict(Unsigned, d.Team, "not signed by the team's key in force")
	}
	if d.Base != t.revision {
		if t.change != nil && t.change.ID == e.ID {
			return s.verdict(Duplicate, d.Team, "")
		}
		return s.verdict(Conflict, d.Team, "based on revision %d, revision %d is in force", d.Base, t.revision)
	}
	if note := d.problem(); note != "" {
		return s.verdict(Invalid, d.Team, "%s", note)
	}
	if v, ok := s.allowed(&d, t); !ok {
		return v
	}
	next := *t
	next.change, next.signer, next.proof, next.document = &e, t.number, t.keys, d
	next.revision, next.offset = d.Base+1, offset
	s.put(d.Team, &next)
	return s.verdict(Accepted, d.Team, "")
}

// allowed checks a document against the other teams and its own past.
func (s *State) allowed(d *Document, t *subtree) (Verdict, bool) {
	for name, service := range d.Services {
		if owner, taken := s.services[name]; taken && owner != d.Team {
			return s.verdict(Foreign, d.Team, "service %s belongs to team %s", name, owner), false
		}
		if old, ok := t.document.Services[name]; ok && old.Slots != service.Slots {
			return s.verdict(Invalid, d.Team, "%s", slotsNote(name, old.Slots)), false
		}
	}
	return Verdict{}, true
}

func slotsNote(name ident.Service, slots uint32) string {
	return fmt.Sprintf("services.%s.slots: %d slots are in force, their number never changes", name, slots)
}
