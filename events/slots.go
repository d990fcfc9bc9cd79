package events

import (
	"encoding/base64"
	"encoding/binary"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// maxListedSlots is the maximum number of slots that one event lists.
const maxListedSlots = 1024

// EncodeSlots encodes slots for Event.Slots: delta-encoded in ascending order as unsigned
// varints, in base64 without padding. Returns an empty string for a contiguous
// range, which First and Last describe already, and for more than maxListedSlots slots.
func EncodeSlots(slots []ident.Slot) string {
	if len(slots) == 0 || len(slots) > maxListedSlots {
		return ""
	}
	sorted := slices.Clone(slots)
	slices.Sort(sorted)
	if int(sorted[len(sorted)-1]-sorted[0])+1 == len(sorted) {
		return ""
	}
	var data []byte
	last := ident.Slot(0)
	for _, slot := range sorted {
		data = binary.AppendUvarint(data, uint64(slot-last))
		last = slot
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// HasSlot reports whether the event concerns a slot. An event without a valid list in
// Slots is assumed to concern all slots from First to Last.
func (e Event) HasSlot(slot ident.Slot) bool {
	if slot < e.First || slot > e.Last {
		return false
	}
	data, err := base64.RawStdEncoding.DecodeString(e.Slots)
	if err != nil || len(data) == 0 {
		return true
	}
	at := uint64(0)
	for len(data) > 0 {
		step, n := binary.Uvarint(data)
		if n <= 0 {
			return false
		}
		at += step
		data = data[n:]
		if at >= uint64(slot) {
			return at == uint64(slot)
		}
	}
	return false
}
