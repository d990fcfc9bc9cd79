package table

import (
	"fmt"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// check returns an error unless the record has exactly one payload, that of its
// kind, and the payload keeps to the format's limits. Its errors wrap
// ErrMalformed.
func (r *Record) check() error {
	if err := checkIncarnation(r.ID.By); err != nil {
		return err
	}
	if r.payloadCount() != 1 {
		return fmt.Errorf("kind %d with %d parts: %w", r.Kind, r.payloadCount(), ErrMalformed)
	}
	switch r.Kind {
	case KindJoin:
		return r.Join.check()
	case KindWitnesses:
		return r.WitnessList.check(r.ID.By)
	case KindClaim, KindMove, KindSuccessors, KindRepublish:
		return r.Changes.check()
	case KindTakeover:
		return r.Takeover.check()
	case KindPin:
		return require(r.Pin != nil && validName(string(r.Pin.Service)), "pin")
	case KindLeave, KindEvict:
		return r.Removal.check()
	case KindSnapshot:
		return require(r.Chunk != nil && len(r.Chunk.Data) <= MaxChunk && r.Chunk.Index < r.Chunk.Count &&
			r.Chunk.Count <= maxChunks, "chunk")
	case KindService:
		return require(r.Service != nil && validName(string(r.Service.Name)) && validSlots(r.Service.Slots), "service")
	}
	return fmt.Errorf("unknown record kind %d: %w", r.Kind, ErrMalformed)
}

// payloadCount returns the number of payload fields that are set.
func (r *Record) payloadCount() int {
	n := 0
	for _, set := range [...]bool{
		r.Join != nil, r.WitnessList != nil, r.Changes != nil, r.Takeover != nil,
		r.Pin != nil, r.Removal != nil, r.Chunk != nil, r.Service != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// require returns an error that names the invalid element unless ok is set. The
// error wraps ErrMalformed.
func require(ok bool, what string) error {
	if ok {
		return nil
	}
	return fmt.Errorf("invalid %s: %w", what, ErrMalformed)
}

func validName(s string) bool { return s != "" && len(s) <= maxName }

func validHost(h ident.Host) bool { return h != "" && len(h) <= maxHost }

// validSlots reports whether n is an allowed number of hash slots: a power of
// two up to maxSlots.
func validSlots(n uint32) bool { return n > 0 && n <= maxSlots && n&(n-1) == 0 }

func checkIncarnation(i ident.Incarnation) error {
	return require(validHost(i.Host), "incarnation")
}

func (m *Member) check() error {
	if m == nil {
		return require(false, "join")
	}
	if err := checkIncarnation(m.Inc); err != nil {
		return err
	}
	for _, s := range [...]string{
		string(m.Place), string(m.Region), string(m.Service), m.Peer, m.Caller, m.Admin,
	} {
		if len(s) > maxName {
			return require(false, "join")
		}
	}
	return nil
}

// check returns an error unless the list holds WitnessCount witnesses that differ
// from each other and from the writer.
func (n *WitnessList) check(writer ident.Incarnation) error {
	if n == nil || len(n.Witnesses) != WitnessCount {
		return require(false, "witnesses")
	}
	w := n.Witnesses
	for _, inc := range w {
		if inc == writer || !validHost(inc.Host) {
			return require(false, "witnesses")
		}
	}
	return require(w[0] != w[1] && w[0] != w[2] && w[1] != w[2], "witnesses")
}

func (c *Changes) check() error {
	return require(c != nil && validName(string(c.Service)) && len(c.To.Host) <= maxHost &&
		validChanges(c.Slots), "changes")
}

func validChanges(list []Change) bool {
	if len(list) > MaxChanges {
		return false
	}
	for i := range list {
		if len(list[i].Successors[0].Host) > maxHost || len(list[i].Successors[1].Host) > maxHost {
			return false
		}
	}
	return true
}

func (t *Takeover) check() error {
	return require(t != nil && validName(string(t.Service)) && validChanges(t.Slots) &&
		len(t.Votes) <= maxVotes && validHost(t.From.Host), "takeover")
}

func (s *Removal) check() error {
	return require(s != nil && validHost(s.Inc.Host) && len(s.Operator) <= maxName &&
		len(s.Votes) <= maxVotes, "subject")
}
