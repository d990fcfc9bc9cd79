package table

import "github.com/monsoonmoor/monsoonmoor/ident"

const (
	// epochRaiseBound exceeds the number by which one record raises a slot's
	// epoch: at most 3, by a claim of a slot whose owner and successors have been
	// removed (republish records aside, which state the epoch).
	epochRaiseBound = 4
	// maxRecordsUntilEffect is the number of records within which, counted from
	// the offset at, the new table must take effect.
	maxRecordsUntilEffect = 1 << 20
)

// Bootstrap returns a table without members, which replaces the state of a stream
// whose first records are lost and that holds no complete snapshot. All slots
// are unowned. Their epochs exceed every epoch that a record up to
// maxRecordsUntilEffect after offset at can have set, so fencing tokens keep
// increasing.
func Bootstrap(at uint64, services []Service) *Table {
	t := New()
	t.next = at + 1
	t.initialEpoch = ident.Epoch(at+maxRecordsUntilEffect) * epochRaiseBound
	for _, s := range services {
		t.declareService(&s)
	}
	return t
}
