package table

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// maxChunks is the largest number of chunks of one snapshot.
const maxChunks = 1024

// ErrSnapshot reports a snapshot that lacks chunks or does not conform to the
// snapshot format.
var ErrSnapshot = errors.New("incomplete or invalid snapshot")

// snapshot is the encoded form of a table, in CBOR.
type snapshot struct {
	Members      []memberSnapshot    `cbor:"1,keyasint"`
	Removed      []ident.Incarnation `cbor:"2,keyasint"`
	Services     []serviceSnapshot   `cbor:"3,keyasint"`
	InitialEpoch ident.Epoch         `cbor:"4,keyasint,omitempty"`
}

// memberSnapshot is the encoded form of a member.
type memberSnapshot struct {
	Info      Member              `cbor:"1,keyasint"`
	Removed   bool                `cbor:"2,keyasint,omitempty"`
	Witnesses []ident.Incarnation `cbor:"3,keyasint,omitempty"`
	Seq       ident.Seq           `cbor:"4,keyasint,omitempty"`
	LastID    uint64              `cbor:"5,keyasint"`
	Window    uint64              `cbor:"6,keyasint"`
}

// serviceSnapshot is the encoded form of a service, with the slots by column.
// Owners and successors are positions in snapshot.Members, counted from one; 0
// stands for none.
type serviceSnapshot struct {
	Name             ident.Service `cbor:"1,keyasint"`
	Slots            uint32        `cbor:"2,keyasint"`
	Pins             []uint64      `cbor:"3,keyasint,omitempty"`
	Epochs           []ident.Epoch `cbor:"4,keyasint"`
	Owners           []uint32      `cbor:"5,keyasint"`
	FirstSuccessors  []uint32      `cbor:"6,keyasint"`
	SecondSuccessors []uint32      `cbor:"7,keyasint"`
}

// Snapshot encodes the table as chunks of at most MaxChunk data bytes each. The
// chunks are labelled with at, the offset of the last record that the table
// contains. It returns an error that wraps ErrTooLarge if the table needs more
// than maxChunks chunks.
func (r *stateRoot) Snapshot(at uint64) ([]Chunk, error) {
	data, err := cbor.Marshal(r.toSnapshot())
	if err != nil {
		return nil, fmt.Errorf("encode snapshot at offset %d: %w", at, err)
	}
	count := (len(data) + MaxChunk - 1) / MaxChunk
	if count > maxChunks {
		return nil, fmt.Errorf("encode snapshot at offset %d, %d bytes: %w", at, len(data), ErrTooLarge)
	}
	chunks := make([]Chunk, 0, count)
	for part := range slices.Chunk(data, MaxChunk) {
		chunks = append(chunks, Chunk{
			At: at, Index: uint32(len(chunks)), Count: uint32(count), Data: part,
		})
	}
	return chunks, nil
}

// toSnapshot returns the encoded form of the table. It renumbers the members, so
// that indexes without a member leave no gap.
func (r *stateRoot) toSnapshot() snapshot {
	s := snapshot{Removed: r.removed, InitialEpoch: r.initialEpoch}
	positions := make([]uint32, len(r.members))
	for id, m := range r.members {
		if m == nil {
			continue
		}
		s.Members = append(s.Members, memberSnapshot{
			Info: m.info, Removed: m.removed, Witnesses: m.witnesses,
			Seq: m.seq, LastID: m.lastID, Window: m.window,
		})
		positions[id] = uint32(len(s.Members))
	}
	for _, svc := range r.services {
		s.Services = append(s.Services, svc.toSnapshot(positions))
	}
	return s
}

// toSnapshot returns the encoded form of the service; positions maps indexes of
// members to positions in the snapshot.
func (s *service) toSnapshot(positions []uint32) serviceSnapshot {
	n := s.count()
	out := serviceSnapshot{
		Name: s.name, Slots: s.slots, Pins: s.pins,
		Epochs: make([]ident.Epoch, n), Owners: make([]uint32, n),
		FirstSuccessors: make([]uint32, n), SecondSuccessors: make([]uint32, n),
	}
	for i := range n {
		st := s.at(ident.Slot(i))
		out.Epochs[i] = st.epoch
		out.Owners[i] = positions[st.owner]
		out.FirstSuccessors[i] = positions[st.succ[0]]
		out.SecondSuccessors[i] = positions[st.succ[1]]
	}
	return out
}

var snapshotDecMode = mustSnapshotDecMode()

func mustSnapshotDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxSlots + maxPins,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Restore decodes a table from all chunks of one snapshot, in any order. Its
// errors wrap ErrSnapshot.
func Restore(chunks []Chunk) (*Table, error) {
	data, at, err := concatChunks(chunks)
	if err != nil {
		return nil, err
	}
	var s snapshot
	if err := snapshotDecMode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot at offset %d: %w: %w", at, ErrSnapshot, err)
	}
	t := New()
	t.next = at + 1
	if err := t.restore(&s); err != nil {
		return nil, fmt.Errorf("restore snapshot at offset %d: %w", at, err)
	}
	return t, nil
}

// concatChunks returns the concatenated data of all chunks of one snapshot, and
// the snapshot's offset.
func concatChunks(chunks []Chunk) ([]byte, uint64, error) {
	if len(chunks) == 0 || len(chunks) > maxChunks {
		return nil, 0, fmt.Errorf("%d chunks: %w", len(chunks), ErrSnapshot)
	}
	parts := make([][]byte, len(chunks))
	at := chunks[0].At
	for _, c := range chunks {
		if c.At != at || int(c.Count) != len(chunks) || c.Index >= c.Count || parts[c.Index] != nil {
			return nil, 0, fmt.Errorf("snapshot chunk %d of %d at offset %d: %w", c.Index, c.Count, c.At, ErrSnapshot)
		}
		parts[c.Index] = c.Data
	}
	return slices.Concat(parts...), at, nil
}

// restore fills an empty table from a snapshot.
func (t *Table) restore(s *snapshot) error {
	if len(s.Members) > maxMembers || len(s.Services) > maxServices || len(s.Removed) > maxRemoved {
		return fmt.Errorf("too many members, services or removed members: %w", ErrSnapshot)
	}
	t.removed, t.initialEpoch = s.Removed, s.InitialEpoch
	for i := range s.Members {
		m := &s.Members[i]
		if _, duplicate := t.byInc[m.Info.Inc]; duplicate || m.Info.check() != nil {
			return fmt.Errorf("member %s: %w", m.Info.Inc, ErrSnapshot)
		}
		t.byInc[m.Info.Inc] = uint32(len(t.members))
		t.members = append(t.members, &member{
			gen: t.gen, info: m.Info, removed: m.Removed, witnesses: m.Witnesses,
			seq: m.Seq, lastID: m.LastID, window: m.Window,
		})
	}
	for i := range s.Services {
		if err := t.restoreService(&s.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

// restoreService adds a service from a snapshot. The members must have been
// restored before.
func (t *Table) restoreService(s *serviceSnapshot) error {
	n := int(s.Slots) + len(s.Pins)
	_, duplicate := t.byName[s.Name]
	if duplicate || !validSlots(s.Slots) || len(s.Pins) > maxPins || len(s.Epochs) != n ||
		len(s.Owners) != n || len(s.FirstSuccessors) != n || len(s.SecondSuccessors) != n {
		return fmt.Errorf("service %q: %w", s.Name, ErrSnapshot)
	}
	svc := newService(t.gen, s.Name, s.Slots)
	for i, hash := range s.Pins {
		svc.pins = append(svc.pins, hash)
		svc.pinOf[hash] = ident.Slot(s.Slots + uint32(i))
	}
	svc.grow(t.gen)
	for i := range n {
		st := slot{epoch: s.Epochs[i], owner: s.Owners[i], succ: [2]uint32{s.FirstSuccessors[i], s.SecondSuccessors[i]}}
		if max(st.owner, st.succ[0], st.succ[1]) >= uint32(len(t.members)) {
			return fmt.Errorf("slot %d of service %q refers to a member that is not listed: %w", i, s.Name, ErrSnapshot)
		}
		t.addSlotCounts(&st, 1)
		*svc.at(ident.Slot(i)) = st
	}
	t.byName[s.Name] = uint32(len(t.services))
	t.services = append(t.services, svc)
	return nil
}
