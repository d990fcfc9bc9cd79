package evac

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// maxZones limits the number of zones with a record, so that records with odd names
// can't fill the memory.
const maxZones = 256

// ErrDocument reports a document that can't be decoded.
var ErrDocument = errors.New("bad document of evacuations")

// Record is what the operator has written last for a zone.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Zone ident.Place
	// Offset is where the store keeps the record.
	Offset uint64
	// Active is set while the zone is evacuated.
	Active bool
}

// State holds the newest record of each zone.
type State struct {
	records map[ident.Place]Record
}

// New returns a state without records.
func New() *State { return &State{records: make(map[ident.Place]Record)} }

// Apply stores a record unless the state has a newer one of its zone, or has too many
// zones. It reports whether the state changed.
func (s *State) Apply(r Record) bool {
	old, ok := s.records[r.Zone]
	if ok && r.Offset <= old.Offset || !ok && len(s.records) >= maxZones {
		return false
	}
	s.records[r.Zone] = r
	return true
}

// ApplySnapshot stores the records of all zones that are evacuated at the offset end of
// the store's topic. Other zones with older records are not evacuated any more. It
// reports whether the state changed.
func (s *State) ApplySnapshot(active []Record, end uint64) bool {
	changed := false
	present := make(map[ident.Place]bool, len(active))
	for _, r := range active {
		present[r.Zone] = true
		changed = s.Apply(r) || changed
	}
	for zone, r := range s.records {
		if r.Active && !present[zone] && r.Offset+1 < end {
			s.records[zone] = Record{Zone: zone, Offset: end - 1}
			changed = true
		}
	}
	return changed
}

// Has reports whether a zone is evacuated.
func (s *State) Has(zone ident.Place) bool { return s.records[zone].Active }

// Zones returns the evacuated zones in the order of their names.
func (s *State) Zones() []ident.Place {
	var zones []ident.Place
	for _, zone := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[zone].Active {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Version returns a number that rises with each change, 0 for a state without records.
// States with the same records have the same version.
func (s *State) Version() uint64 {
	version := uint64(0)
	for _, r := range s.records {
		version = max(version, r.Offset+1)
	}
	return version
}

// Encode returns the records as a document for Merge.
func (s *State) Encode() ([]byte, error) {
	records := make([]Record, 0, len(s.records))
	for _, zone := range slices.Sorted(maps.Keys(s.records)) {
		records = append(records, s.records[zone])
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode evacuations: %w", err)
	}
	return data, nil
}

// Merge applies the records of a document and reports whether the state changed. Its
// error wraps ErrDocument; the state is unchanged then.
func (s *State) Merge(data []byte) (bool, error) {
	var records []Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return false, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	changed := false
	for _, r := range records {
		changed = s.Apply(r) || changed
	}
	return changed, nil
}
