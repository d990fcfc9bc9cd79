package policy

import (
	"crypto/ed25519"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxChunk is about how much of a state goes into one chunk, in bytes.
	maxChunk = 96 << 10
	// maxChunks bounds the chunks of a snapshot.
	maxChunks = 256
	// maxPartials bounds the snapshots that are collected at once.
	maxPartials = 2
)

// partial is a snapshot of which some chunks have come. It is immutable.
type partial struct {
	id    ID
	next  uint64
	count uint32
	seen  []uint32
	teams []*subtree
}

// partials lists incomplete snapshots, oldest first.
type partials []partial

// Chunks returns the entries that carry the state. They are not signed: their
// parts are.
func (s *State) Chunks(id ID) ([]Entry, error) {
	var groups [][]Subtree
	var group []Subtree
	size := 0
	for _, team := range s.Teams() {
		tree := s.teams[team].export()
		data, err := cbor.Marshal(tree)
		if err != nil {
			return nil, fmt.Errorf("encode subtree of team %s: %w", team, err)
		}
		if size+len(data) > maxChunk && len(group) > 0 {
			groups = append(groups, group)
			group, size = nil, 0
		}
		group = append(group, tree)
		size += len(data)
	}
	groups = append(groups, group)
	entries := make([]Entry, len(groups))
	for i, teams := range groups {
		body, err := cbor.Marshal(Chunk{
			ID: id, Next: s.next, Index: uint32(i), Count: uint32(len(groups)), Teams: teams,
		})
		if err != nil {
			return nil, fmt.Errorf("encode snapshot chunk: %w", err)
		}
		entries[i] = Entry{ID: NewID(), Kind: KindSnapshot, Body: body}
	}
	return entries, nil
}

// export returns the entries that the subtree consists of.
func (t *subtree) export() Subtree {
	tree := Subtree{Keys: t.keys, Change: t.change, Signer: t.signer, Offset: t.offset}
	if len(t.proof) > 0 && t.proof[0].ID != t.keys[0].ID {
		tree.Proof = t.proof
	}
	return tree
}

// applySnapshot takes in one chunk. A subtree is taken from it only where its
// signatures hold and it is newer than the one in hand.
func (s *State) applySnapshot(offset uint64, e Entry) Verdict {
	var chunk Chunk
	if err := decoder.Unmarshal(e.Body, &chunk); err != nil {
		return invalid("snapshot: %v", err)
	}
	if chunk.Count == 0 || chunk.Count > maxChunks || chunk.Index >= chunk.Count || chunk.Next > offset {
		return invalid("snapshot: chunk %d of %d before offset %d", chunk.Index, chunk.Count, chunk.Next)
	}
	trees := make([]*subtree, 0, len(chunk.Teams))
	for i := range chunk.Teams {
		t, err := s.verify(&chunk.Teams[i])
		if err != nil {
			return invalid("snapshot: %v", err)
		}
		trees = append(trees, t)
	}
	full, ok := s.collect(&chunk, trees)
	if !ok {
		return Verdict{result: Waiting, note: fmt.Sprintf("chunk %d of %d", chunk.Index+1, chunk.Count)}
	}
	return s.takeSnapshot(offset, full)
}

// verify checks the signatures of a subtree from a snapshot.
func (s *State) verify(tree *Subtree) (*subtree, error) {
	t, signer, err := s.verifyKeys(tree.Keys, tree.Signer)
	if err != nil || tree.Change == nil {
		return t, err
	}
	proof := tree.Keys
	if len(tree.Proof) > 0 {
		proof = tree.Proof
		if _, signer, err = s.verifyKeys(proof, tree.Signer); err != nil {
			return nil, err
		}
	}
	if signer == nil || signer.document.Team != t.document.Team || tree.Signer > t.number {
		return nil, fmt.Errorf("change %s: no proof of key %d", tree.Change.ID, tree.Signer)
	}
	t.proof = proof
	return t, t.restore(tree, signer.key)
}

// verifyKeys checks a run of key entries. It returns the subtree with the last
// key in force, and as it was with the key of the given number, or nil.
func (s *State) verifyKeys(keys []Entry, number uint64) (last, at *subtree, err error) {
	if len(keys) == 0 || len(keys) > maxRotations+1 {
		return nil, nil, fmt.Errorf("%d key entries, from 1 to %d allowed", len(keys), maxRotations+1)
	}
	for i, e := range keys {
		var grant KeyGrant
		if err := decoder.Unmarshal(e.Body, &grant); err != nil || e.Kind != KindKey || grant.problem() != "" {
			return nil, nil, fmt.Errorf("key entry %s is malformed", e.ID)
		}
		if i > 0 && (grant.Number != last.number+1 || grant.Team != last.document.Team) {
			return nil, nil, fmt.Errorf("key entry %s does not follow the one before", e.ID)
		}
		next, note := last.withKey(s.roots, e, grant)
		if note != "" {
			return nil, nil, fmt.Errorf("key entry %s: %s", e.ID, note)
		}
		last = next
		last.document.Team = grant.Team
		if grant.Number == number {
			at = last
		}
	}
	return last, at, nil
}

// restore puts the change of a snapshot into t.
func (t *subtree) restore(tree *Subtree, signer ed25519.PublicKey) error {
	e := tree.Change
	var d Document
	if err := decoder.Unmarshal(e.Body, &d); err != nil || e.Kind != KindChange || d.Team != t.document.Team {
		return fmt.Errorf("change %s is malformed", e.ID)
	}
	if !e.signedBy(signer) {
		return fmt.Errorf("change %s is not signed by key %d of team %s", e.ID, tree.Signer, d.Team)
	}
	if note := d.problem(); note != "" {
		return fmt.Errorf("change %s: %s", e.ID, note)
	}
	t.change, t.signer, t.document = e, tree.Signer, d
	t.revision, t.offset = d.Base+1, tree.Offset
	return nil
}

// collect adds a chunk to its snapshot, and returns the snapshot when it is
// complete.
func (s *State) collect(chunk *Chunk, trees []*subtree) (partial, bool) {
	parts := slices.Clone(s.parts)
	i := slices.IndexFunc(parts, func(p partial) bool {
		return p.id == chunk.ID && p.next == chunk.Next && p.count == chunk.Count
	})
	if i < 0 {
		if len(parts) >= maxPartials {
			parts = parts[1:]
		}
		parts = append(parts, partial{id: chunk.ID, next: chunk.Next, count: chunk.Count})
		i = len(parts) - 1
	}
	p := parts[i]
	if len(p.teams)+len(trees) > maxTeams {
		return partial{}, false
	}
	if !slices.Contains(p.seen, chunk.Index) {
		p.seen = append(slices.Clone(p.seen), chunk.Index)
		p.teams = append(slices.Clone(p.teams), trees...)
	}
	if len(p.seen) == int(p.count) {
		s.parts = slices.Delete(parts, i, i+1)
		return p, true
	}
	parts[i] = p
	s.parts = parts
	return partial{}, false
}

// takeSnapshot takes in a complete snapshot. A whole state takes nothing from
// it, since it has applied the entries themselves.
func (s *State) takeSnapshot(offset uint64, p partial) Verdict {
	if s.whole && !s.anew {
		if team, ok := s.agrees(p); !ok {
			return s.verdict(Invalid, team, "snapshot before offset %d is not what was accepted", p.next)
		}
	}
	taken := 0
	for _, t := range p.teams {
		if (!s.whole || s.anew) && s.take(t) {
			taken++
		}
	}
	if !s.finish(p.next) {
		return Verdict{result: Waiting, note: fmt.Sprintf("snapshot before offset %d is too old", p.next)}
	}
	s.snapshot = offset
	return Verdict{result: Accepted, note: fmt.Sprintf("snapshot, %d subtrees were newer", taken)}
}

// agrees reports whether a snapshot holds what a whole state knows to have
// been accepted before it, or else the team where it does not.
func (s *State) agrees(p partial) (Team, bool) {
	found := map[Team]*subtree{}
	for _, o := range p.teams {
		team := o.document.Team
		found[team] = o
		if o.revision > s.Revision(team) || s.teams[team].keyNumber() < o.number {
			return team, false
		}
	}
	for team, t := range s.teams {
		if t.change == nil || t.offset >= p.next {
			continue
		}
		if o := found[team]; o == nil || o.change == nil || o.change.ID != t.change.ID {
			return team, false
		}
	}
	return "", true
}

// take replaces a team's subtree where the other one is newer. Key and change
// are compared each on its own, since a reader may have one without the other.
func (s *State) take(o *subtree) bool {
	team := o.document.Team
	old, ok := s.teams[team]
	if !ok {
		if len(s.teams) >= maxTeams {
			return false
		}
		s.put(team, o)
		return true
	}
	next := *old
	if o.number > old.number {
		next.keys, next.number, next.key = o.keys, o.number, o.key
	}
	if o.revision > old.revision {
		next.change, next.signer, next.proof, next.document = o.change, o.signer, o.proof, o.document
		next.revision, next.offset = o.revision, o.offset
	}
	if next.number == old.number && next.revision == old.revision {
		return false
	}
	s.put(team, &next)
	return true
}
