package policy

import (
	"crypto/ed25519"
	"maps"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// maxTeams bounds the subtrees of a state.
	maxTeams = 256
	// maxRotations bounds the key entries since the last one under the root.
	maxRotations = 16
)

// State is the settings of all teams after one offset of the stream. It is
// immutable: Apply returns the next state. A state in hand only ever gains
// newer revisions, whatever comes from the stream.
type State struct {
	roots    []ed25519.PublicKey
	teams    map[Team]*subtree
	services map[ident.Service]Team
	next     uint64
	// whole is false while entries before next may be missing.
	whole bool
	// anew is set where the state became whole by a genesis entry: members that
	// kept an older state may still know more.
	anew bool
	// boot collects what a state that is not whole still needs.
	boot *boot
	// snapshot is the offset of the newest good snapshot's last chunk.
	snapshot uint64
	// parts holds the chunks of the snapshots that are not complete yet.
	parts partials
}

// subtree is one team's part of a State. It is never changed once shared.
type subtree struct {
	// keys runs from the newest key entry under the root to the one in force.
	keys   []Entry
	number uint64
	key    ed25519.PublicKey
	change *Entry
	// signer is the key that signed the change, and proof its key entries.
	signer   uint64
	proof    []Entry
	document Document
	revision Revision
	offset   uint64
}

// firstOffset is the offset of the first entry that a stream ever has.
const firstOffset = 1

// NewState returns the state before the first entry of the stream, under the
// operators' public root keys.
func NewState(roots ...ed25519.PublicKey) *State {
	return &State{
		roots:    slices.Clone(roots),
		teams:    map[Team]*subtree{},
		services: map[ident.Service]Team{},
		next:     firstOffset,
		whole:    true,
	}
}

// Resume tells the state that the oldest entry that is left to read has the
// offset first. Where entries were lost before it, the settings in hand stay
// in force and the state waits for a snapshot.
func (s *State) Resume(first uint64) *State {
	if first <= s.next {
		return s
	}
	n := s.clone()
	n.skip(first)
	return n
}

// skip leaves out the entries before first.
func (s *State) skip(first uint64) {
	s.whole = false
	s.next = first
	s.boot = &boot{from: first}
}

// begin makes the state whole.
func (s *State) begin() {
	s.whole = true
	s.boot = nil
}

// clone returns a copy whose maps may be replaced, but not changed in place.
func (s *State) clone() *State {
	n := *s
	return &n
}

// Next returns the offset that follows the last applied entry.
func (s *State) Next() uint64 { return s.next }

// IsWhole reports whether the state holds everything that was accepted before
// Next. One that is not whole may be older, but never wrong about what it has.
func (s *State) IsWhole() bool { return s.whole }

// Snapshot returns the offset of the last chunk of the newest good snapshot,
// and false when none was seen.
func (s *State) Snapshot() (uint64, bool) { return s.snapshot, s.snapshot != 0 }

// Service returns what the accepted settings say of a service.
func (s *State) Service(name ident.Service) (Service, bool) {
	team, ok := s.services[name]
	if !ok {
		return Service{}, false
	}
	service, ok := s.teams[team].document.Services[name]
	return service, ok
}

// Services returns the names of all services in order.
func (s *State) Services() []ident.Service {
	return slices.Sorted(maps.Keys(s.services))
}

// Teams returns the names of all teams in order.
func (s *State) Teams() []Team {
	return slices.Sorted(maps.Keys(s.teams))
}

// Revision returns the revision of a team's subtree in force.
func (s *State) Revision(team Team) Revision {
	if t, ok := s.teams[team]; ok {
		return t.revision
	}
	return 0
}

// Document returns a team's subtree in force. Its Base is the revision that it
// was based on. The caller must not change what it refers to.
func (s *State) Document(team Team) (Document, bool) {
	t, ok := s.teams[team]
	if !ok || t.change == nil {
		return Document{}, false
	}
	return t.document, true
}

// Key returns a team's public key and its number.
func (s *State) Key(team Team) (ed25519.PublicKey, uint64, bool) {
	t, ok := s.teams[team]
	if !ok {
		return nil, 0, false
	}
	return t.key, t.number, true
}

// put replaces one team's subtree and rebuilds the owners of services.
func (s *State) put(team Team, t *subtree) {
	s.teams = maps.Clone(s.teams)
	s.teams[team] = t
	s.services = maps.Clone(s.services)
	maps.DeleteFunc(s.services, func(_ ident.Service, owner Team) bool { return owner == team })
	for name := range t.document.Services {
		s.services[name] = team
	}
}
