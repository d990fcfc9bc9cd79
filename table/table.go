package table

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Limits of the table.
const (
	// WitnessCount is the number of witnesses that each member has.
	WitnessCount = 3
	// maxSlots is the largest number of hash slots of one service.
	maxSlots = 1 << 16
	// maxPins is the largest number of pinned keys of one service.
	maxPins = 1024
	// maxServices is the largest number of services.
	maxServices = 1024
	// maxMembers is the largest number of incarnations, including removed ones
	// that slots still refer to.
	maxMembers = 8192
	// maxRemoved is the number of removed incarnations that are remembered after
	// their entry is deleted, so that a repeated join record does not add them
	// again.
	maxRemoved = 1024
)

// Table is the state of the ownership table after the records up to some offset
// of the stream. It is not safe for concurrent use; a View is.
type Table struct {
	stateRoot
	next uint64
}

// New returns an empty table, the state before the first record of the stream.
func New() *Table {
	t := &Table{}
	t.gen = 1
	t.members = []*member{nil}
	t.byInc = map[ident.Incarnation]uint32{}
	t.byName = map[ident.Service]uint32{}
	return t
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() uint64 { return t.next }

// SkipTo sets the offset of the next record to apply, skipping the records before
// it.
func (t *Table) SkipTo(offset uint64) { t.next = offset }

// View returns an immutable view of the table's present state. The view shares
// with the table all data that the table does not change afterwards.
func (t *Table) View() *View {
	v := &View{stateRoot: t.stateRoot, next: t.next}
	t.gen++
	return v
}

// View is an immutable view of a table. It is safe for concurrent use.
type View struct {
	stateRoot
	next uint64
}

// Next returns the offset that follows the last record applied to the view.
func (v *View) Next() uint64 { return v.next }
