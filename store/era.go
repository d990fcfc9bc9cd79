package store

// An offset of this package names a record for good: it rises over the whole life of
// the store, also over restores from an older copy, after which the store gives out
// the numbers of lost records a second time. It is composed of the store's era, which
// counts the restores, and the record's index in its topic.
const (
	// indexBits is the number of bits of an offset that hold the index.
	indexBits = 28
	// MaxIndex is the highest index of a record.
	MaxIndex = 1<<indexBits - 1
	// MaxEra is the highest era. Fencing tokens are derived from offsets and must stay
	// below 2^53, so that they survive in a double.
	MaxEra = 1<<19 - 1
)

// NewOffset returns the offset of the record at an index, as the store numbers its
// records, in the given era. The era is at most MaxEra, the index at most MaxIndex.
func NewOffset(era, index uint64) uint64 { return era<<indexBits | index }

// Era returns the era of an offset. It is 0 for a store that reports none.
func Era(offset uint64) uint64 { return offset >> indexBits }

// Index returns the index of the record at an offset, as the store numbers its records.
func Index(offset uint64) uint64 { return offset & MaxIndex }
