// Package ring provides the bounded queue that joins one duty's goroutine to
// the next. The overflow policy is part of a ring's type of use: a ring made
// by New refuses new items when full, one made by NewDropping discards its
// oldest item instead.
//
// # Usage
//
//	r := ring.NewDropping[events.Event](4096)
//	r.Put(e)
//	for {
//		e, err := r.Get(ctx)
//		if err != nil {
//			return
//		}
//		handle(e)
//	}
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue for any number of writers and
// readers.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	drop    bool
	dropped uint64
	wake    chan struct{}
	room    chan struct{}
}

// New returns a ring of the given capacity whose Put refuses when full.
func New[T any](capacity int) *Ring[T] {
	return newRing[T](capacity, false)
}

// NewDropping returns a ring of the given capacity whose Put discards the
// oldest item when full.
func NewDropping[T any](capacity int) *Ring[T] {
	return newRing[T](capacity, true)
}

func newRing[T any](capacity int, drop bool) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(1, capacity)),
		drop:  drop,
		wake:  make(chan struct{}, 1),
		room:  make(chan struct{}, 1),
	}
}

// Put adds an item. It reports false when the item was refused.
func (r *Ring[T]) Put(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		r.dropped++
		if !r.drop {
			return false
		}
		r.pop()
	}
	r.add(item)
	return true
}

// Push adds an item to a ring that refuses when full. It waits until there is
// room or ctx ends, and so passes a reader's slowness on to the writer.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	for {
		if r.tryPut(item) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.room:
		}
	}
}

// Get removes the oldest item. It waits until there is one or ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		if item, ok := r.TryGet(); ok {
			return item, nil
		}
		select {
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		case <-r.wake:
		}
	}
}

// TryGet removes the oldest item if there is one.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	item := r.pop()
	if r.count > 0 {
		signal(r.wake)
	}
	signal(r.room)
	return item, true
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of items refused or discarded so far.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) tryPut(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		return false
	}
	r.add(item)
	if r.count < len(r.items) {
		signal(r.room)
	}
	return true
}

func (r *Ring[T]) add(item T) {
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	signal(r.wake)
}

func (r *Ring[T]) pop() T {
	item := r.items[r.head]
	var zero T
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return item
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
