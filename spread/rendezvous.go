package spread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Rendezvous returns the owner of a slot by rendezvous hashing: the member with the highest weight. It is the
// static placement that load-based moves are compared with. It returns false when there are no members.
func Rendezvous(slot ident.Slot, members []ident.Incarnation) (ident.Incarnation, bool) {
	var best ident.Incarnation
	var highest uint64
	for i, member := range members {
		if weight := weigh(slot, member); i == 0 || weight > highest {
			best, highest = member, weight
		}
	}
	return best, len(members) > 0
}

// weigh returns the rendezvous weight of a member for a slot, a hash of both.
func weigh(slot ident.Slot, member ident.Incarnation) uint64 {
	data := make([]byte, 0, 64)
	data = binary.LittleEndian.AppendUint32(data, uint32(slot))
	data = binary.LittleEndian.AppendUint64(data, member.Boot)
	data = append(data, member.Host...)
	return xxhash.Sum64(data)
}
