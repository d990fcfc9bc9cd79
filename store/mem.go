package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MemFaults are what a Mem does wrong on order.
type MemFaults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers does every write and says that there was no answer.
	LoseAnswers bool
}

// Mem keeps topics in memory.
type Mem struct {
	clock clockwork.Clock

	mu     sync.Mutex
	faults MemFaults
	topics map[string]*memTopic
	calls  int
	// deaf counts how often the reads that waited were forgotten.
	deaf int
}

var _ Port = (*Mem)(nil)

type memTopic struct {
	items []Item
	first uint64
	end   uint64
	grown chan struct{}
}

// NewMem returns an empty store.
func NewMem(clock clockwork.Clock) *Mem {
	return &Mem{clock: clock, topics: make(map[string]*memTopic)}
}

// SetFaults replaces the faults in force.
func (m *Mem) SetFaults(f MemFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Deafen forgets the reads that wait now: they get no answer, while new ones do.
func (m *Mem) Deafen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf++
}

func (m *Mem) deafened() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deaf
}

// Calls returns the number of calls so far.
func (m *Mem) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Forget drops the history of a topic; the newest item of each key stays.
func (m *Mem) Forget(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topic(topic)
	t.first = t.end
}

// Put implements Port.
func (m *Mem) Put(_ context.Context, w Write) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.faults.Down {
		return 0, fmt.Errorf("put %s: %w", w.Key, ErrRefused)
	}
	t := m.topic(w.Topic)
	if w.At != Anywhere && w.At != t.end {
		return 0, fmt.Errorf("put %s at %d of %d: %w", w.Key, w.At, t.end, ErrConflict)
	}
	offset := t.end
	t.items = append(t.items, Item{Key: w.Key, Value: slices.Clone(w.Value), Offset: offset})
	t.end++
	close(t.grown)
	t.grown = make(chan struct{})
	if m.faults.LoseAnswers {
		return 0, fmt.Errorf("put %s: %w", w.Key, ErrUnknown)
	}
	return offset, nil
}

// Newest implements Port.
func (m *Mem) Newest(_ context.Context, topic string) (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.faults.Down {
		return Snapshot{}, fmt.Errorf("newest of %s: %w", topic, ErrRefused)
	}
	t := m.topic(topic)
	newest := make(map[string]Item)
	for _, item := range t.items {
		newest[item.Key] = item
	}
	s := Snapshot{End: t.end}
	for _, item := range newest {
		if len(item.Value) > 0 {
			s.Items = append(s.Items, item)
		}
	}
	slices.SortFunc(s.Items, func(a, b Item) int { return int(a.Offset) - int(b.Offset) })
	return s, nil
}

// Read implements Port.
func (m *Mem) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	deaf := m.deafened()
	for counted := false; ; counted = true {
		if m.deafened() != deaf {
			<-ctx.Done()
			return Page{}, fmt.Errorf("read %s: %w: %w", topic, ErrUnknown, ctx.Err())
		}
		page, grown, err := m.read(topic, from, !counted)
		if err != nil || len(page.Items) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.Chan():
			return page, nil
		case <-ctx.Done():
			return Page{}, fmt.Errorf("read %s: %w: %w", topic, ErrUnknown, ctx.Err())
		}
	}
}

func (m *Mem) read(topic string, from uint64, count bool) (Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count {
		m.calls++
	}
	if m.faults.Down {
		return Page{}, nil, fmt.Errorf("read %s: %w", topic, ErrRefused)
	}
	t := m.topic(topic)
	if from < t.first {
		return Page{}, nil, fmt.Errorf("read %s: %w", topic, &GoneError{First: t.first})
	}
	page := Page{End: t.end}
	for _, item := range t.items {
		if item.Offset >= from {
			page.Items = append(page.Items, item)
		}
	}
	return page, t.grown, nil
}

func (m *Mem) topic(name string) *memTopic {
	t, ok := m.topics[name]
	if !ok {
		t = &memTopic{grown: make(chan struct{})}
		m.topics[name] = t
	}
	return t
}
