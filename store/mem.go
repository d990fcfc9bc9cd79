package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MemFaults are the faults that a Mem injects.
type MemFaults struct {
	// Down makes every call fail with ErrRefused.
	Down bool
	// LoseAnswers makes every write take effect but fail with ErrOutcomeUnknown.
	LoseAnswers bool
}

// Mem is a Port that keeps topics in memory, for tests.
type Mem struct {
	clock clockwork.Clock

	mu     sync.Mutex
	faults MemFaults
	topics map[string]*memTopic
	calls  int
	// era counts the restores.
	era uint64
	// drops counts the calls of HangPendingReads.
	drops int
}

var _ Port = (*Mem)(nil)

// memTopic holds all items of a topic. Read serves those from offset first on.
type memTopic struct {
	items []Item
	first uint64
	end   uint64
	// grown is closed and replaced at every write.
	grown chan struct{}
}

// NewMem returns an empty store.
func NewMem(clock clockwork.Clock) *Mem {
	return &Mem{clock: clock, topics: make(map[string]*memTopic)}
}

// SetFaults replaces the injected faults.
func (m *Mem) SetFaults(f MemFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// HangPendingReads makes the reads that are pending now miss later writes: when the topic grows,
// they hang until their context ends. New reads are served.
func (m *Mem) HangPendingReads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drops++
}

func (m *Mem) dropCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drops
}

// Calls returns the number of calls of Put, Newest and Read so far.
func (m *Mem) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// ExpireRecords makes Read fail with ExpiredError for all present records of a topic. Newest
// still returns the newest item of each key.
func (m *Mem) ExpireRecords(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topic(topic)
	t.first = t.end
}

// MemCopy is a copy of the contents of a Mem.
type MemCopy struct {
	topics map[string]*memTopic
}

// Copy returns a copy of the contents, for Restore.
func (m *Mem) Copy() MemCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemCopy{topics: cloneTopics(m.topics)}
}

// Restore replaces the contents by those of a copy and begins the next era. Records of
// the topic kept that were written since the copy are written again.
func (m *Mem) Restore(c MemCopy, kept string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	old := m.topics
	m.topics = cloneTopics(c.topics)
	if lost, ok := old[kept]; ok {
		t := m.topic(kept)
		for _, item := range lost.items[min(len(t.items), len(lost.items)):] {
			t.add(item.Key, item.Value)
		}
	}
	for _, t := range old {
		close(t.grown)
	}
}

func cloneTopics(topics map[string]*memTopic) map[string]*memTopic {
	out := make(map[string]*memTopic, len(topics))
	for name, t := range topics {
		out[name] = &memTopic{items: slices.Clone(t.items), first: t.first, end: t.end, grown: make(chan struct{})}
	}
	return out
}

// add appends an item and returns its index.
func (t *memTopic) add(key string, value []byte) uint64 {
	t.items = append(t.items, Item{Key: key, Value: slices.Clone(value), Offset: t.end})
	t.end++
	close(t.grown)
	t.grown = make(chan struct{})
	return t.end - 1
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
	if end := NewOffset(m.era, t.end); w.At != AnyOffset && w.At != end {
		return 0, fmt.Errorf("put %s at offset %d, topic ends at %d: %w", w.Key, w.At, end, ErrConflict)
	}
	offset := NewOffset(m.era, t.add(w.Key, w.Value))
	if m.faults.LoseAnswers {
		return 0, fmt.Errorf("put %s: %w", w.Key, ErrOutcomeUnknown)
	}
	return offset, nil
}

// Newest implements Port.
func (m *Mem) Newest(_ context.Context, topic string) (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.faults.Down {
		return Snapshot{}, fmt.Errorf("read newest values of %s: %w", topic, ErrRefused)
	}
	t := m.topic(topic)
	newest := make(map[string]Item)
	for _, item := range t.items {
		newest[item.Key] = m.inEra(item)
	}
	s := Snapshot{End: NewOffset(m.era, t.end)}
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
	drops := m.dropCount()
	for counted := false; ; counted = true {
		if m.dropCount() != drops {
			<-ctx.Done()
			return Page{}, fmt.Errorf("read %s: %w: %w", topic, ErrOutcomeUnknown, ctx.Err())
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
			return Page{}, fmt.Errorf("read %s: %w: %w", topic, ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// read makes one attempt of Read. It also returns the channel that is closed at the
// next write.
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
	if first := NewOffset(m.era, t.first); from < first {
		return Page{}, nil, fmt.Errorf("read %s: %w", topic, &ExpiredError{First: first})
	}
	page := Page{End: NewOffset(m.era, t.end)}
	for _, item := range t.items {
		if item = m.inEra(item); item.Offset >= from {
			page.Items = append(page.Items, item)
		}
	}
	return page, t.grown, nil
}

// inEra returns an item with the offset that it has in the present era.
func (m *Mem) inEra(item Item) Item {
	item.Offset = NewOffset(m.era, item.Offset)
	return item
}

// topic returns a topic, which it creates if needed. The caller must hold mu.
func (m *Mem) topic(name string) *memTopic {
	t, ok := m.topics[name]
	if !ok {
		t = &memTopic{grown: make(chan struct{})}
		m.topics[name] = t
	}
	return t
}
