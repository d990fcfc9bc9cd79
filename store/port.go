package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a call.
var (
	// ErrConflict means that the topic had grown and nothing was written.
	ErrConflict = errors.New("topic has grown")
	// ErrRefused means that the store refused the call and did nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown means that there was no answer: a write may have been done, or
	// may be done later while its condition holds.
	ErrUnknown = errors.New("no answer from the store")
	// ErrFormat means that the answer could not be read.
	ErrFormat = errors.New("malformed answer from the store")
)

// GoneError reports a read from below the first record that is kept.
type GoneError struct {
	// First is the first offset that is kept.
	First uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records below offset %d are gone", e.First)
}

// Item is one value of a key.
type Item struct {
	Key string
	// Value is empty when the key was dropped.
	Value  []byte
	Offset uint64
}

// Snapshot is the newest item of each key.
type Snapshot struct {
	Items []Item
	// End is the offset that the next record will have.
	End uint64
}

// Page is a run of records.
type Page struct {
	Items []Item
	// End is the offset that the topic's next record will have.
	End uint64
}

// Write is one conditional write.
type Write struct {
	Topic string
	Key   string
	Value []byte
	// At is the offset at which the topic must end; Anywhere sets no condition.
	At uint64
}

// Anywhere is the At of a write without condition.
const Anywhere = ^uint64(0)

// Port reaches the store. Its methods are safe for concurrent use; their errors
// wrap one of the errors above.
type Port interface {
	// Put writes a value and returns its offset.
	Put(ctx context.Context, w Write) (uint64, error)
	// Newest returns the newest item of every key of a topic.
	Newest(ctx context.Context, topic string) (Snapshot, error)
	// Read returns the records from an offset on, as soon as there is one or
	// after the wait.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
}
