package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the methods of Port.
var (
	// ErrConflict means that the topic does not end at the expected offset, or that the
	// store was restored from a copy since. The write did not take effect in the era of
	// the expected offset, and will not.
	ErrConflict = errors.New("topic does not end at the expected offset")
	// ErrRefused means that the store refused the call or could not be reached.
	// Nothing was written.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that there was no response. A write may have taken effect, or
	// may still take effect while its condition holds.
	ErrOutcomeUnknown = errors.New("no answer from the store")
	// ErrMalformed means that the response is malformed.
	ErrMalformed = errors.New("malformed answer from the store")
)

// ExpiredError reports a read from an offset that the store does not have: one below the
// first record that it still has, or one of an earlier era.
type ExpiredError struct {
	// First is the lowest offset that can be read.
	First uint64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records below offset %d of era %d have expired", Index(e.First), Era(e.First))
}

// Item is a record: one value of a key.
type Item struct {
	Key string
	// Value is empty when the key was deleted.
	Value  []byte
	Offset uint64
}

// Snapshot holds the newest item of each key of a topic.
type Snapshot struct {
	Items []Item
	// End is the offset from which Read continues after the snapshot: that of the
	// topic's next record at the time of the snapshot.
	End uint64
}

// Page holds consecutive records of a topic.
type Page struct {
	Items []Item
	// End is the offset from which the next Read continues.
	End uint64
}

// Write is one conditional write.
type Write struct {
	Topic string
	Key   string
	Value []byte
	// At is the offset at which the topic must end for the write to take effect, in its
	// era; AnyOffset sets no condition. A call that was delayed over a restore may
	// store its record in the later era all the same: where that matters, the key or
	// the value must name the era.
	At uint64
}

// AnyOffset is the value of Write.At for an unconditional write.
const AnyOffset = ^uint64(0)

// Port is the interface to the store. Its methods are safe for concurrent use; their
// errors wrap one of the errors above.
type Port interface {
	// Put writes a value and returns its offset. It fails with ErrConflict if the
	// condition of the write does not hold.
	Put(ctx context.Context, w Write) (uint64, error)
	// Newest returns the newest item of every key of a topic.
	Newest(ctx context.Context, topic string) (Snapshot, error)
	// Read returns the records from an offset on. If there is none, it waits for the
	// first one, at most for wait, and then returns an empty page. It fails with a
	// ExpiredError if the store does not have the offset.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
}
