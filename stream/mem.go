package stream

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
)

// MemFaults are what a Mem does wrong on order.
type MemFaults struct {
	// Outage fails appends with ErrOutage and holds readers.
	Outage bool
	// LoseEvery fails every n-th append with ErrUnknown after it took effect.
	LoseEvery int
	// RefuseEvery fails every n-th append with a *RefusedError.
	RefuseEvery int
}

// Mem keeps streams in memory. It implements message.Publisher and
// message.Subscriber like Client.
type Mem struct {
	opts   options
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	streams map[string]*memStream
	faults  MemFaults
	appends int
	closed  bool
	// wake is closed at every change.
	wake chan struct{}
	wg   sync.WaitGroup
}

type memStream struct {
	first   uint64
	records []Record
}

// NewMem returns an empty log.
func NewMem(opts ...Option) *Mem {
	m := &Mem{
		opts:    newOptions(opts),
		streams: make(map[string]*memStream),
		wake:    make(chan struct{}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// SetFaults replaces the faults in force.
func (m *Mem) SetFaults(f MemFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.appends = 0
	m.broadcast()
}

// Trim drops the records of a topic below first.
func (m *Mem) Trim(topic string, first uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(topic)
	for len(s.records) > 0 && s.first < first {
		s.records = s.records[1:]
		s.first++
	}
}

// Next returns the offset that the next record of a topic will have.
func (m *Mem) Next(topic string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stream(topic).next()
}

// Publish appends messages to a topic as Client.Publish does.
func (m *Mem) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		offset, err := m.append(topic, msg.Payload)
		if err != nil {
			return fmt.Errorf("append to %q: %w", topic, err)
		}
		msg.Metadata.Set(MetaOffset, strconv.FormatUint(offset, 10))
	}
	return nil
}

func (m *Mem) append(topic string, data []byte) (uint64, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrTooLarge, len(data), MaxRecord)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return 0, ErrClosed
	case m.faults.Outage:
		return 0, ErrOutage
	}
	m.appends++
	if isNth(m.appends, m.faults.RefuseEvery) {
		return 0, &RefusedError{}
	}
	s := m.stream(topic)
	offset := s.next()
	s.records = append(s.records, Record{
		Offset: offset,
		At:     m.opts.clock.Now().UnixMilli(),
		Data:   append([]byte(nil), data...),
	})
	m.broadcast()
	if isNth(m.appends, m.faults.LoseEvery) {
		return 0, ErrUnknown
	}
	return offset, nil
}

func isNth(count, every int) bool {
	return every > 0 && count%every == 0
}

// Subscribe reads a topic as Client.Subscribe does.
func (m *Mem) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, fmt.Errorf("subscribe to %q: %w", topic, ErrClosed)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(m.ctx, cancel)
	r := &memReader{mem: m, topic: topic, next: fromOf(ctx, m.opts.from), out: make(chan *message.Message)}
	m.wg.Go(func() {
		defer cancel()
		defer stop()
		r.run(ctx)
	})
	return r.out, nil
}

// Close ends all subscriptions.
func (m *Mem) Close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
	return nil
}

func (m *Mem) stream(topic string) *memStream {
	s := m.streams[topic]
	if s == nil {
		s = &memStream{first: 1}
		m.streams[topic] = s
	}
	return s
}

func (m *Mem) broadcast() {
	close(m.wake)
	m.wake = make(chan struct{})
}

func (s *memStream) next() uint64 {
	return s.first + uint64(len(s.records))
}
