package stream

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"
)

// memReader follows one topic of a Mem for one subscription.
type memReader struct {
	mem   *Mem
	topic string
	next  uint64
	out   chan *message.Message
	known bool
	up    bool
	ended uint64
}

func (r *memReader) run(ctx context.Context) {
	defer close(r.out)
	for ctx.Err() == nil {
		msg, up, wake := r.step()
		r.report(up)
		if msg != nil {
			deliver(ctx, r.out, msg)
			continue
		}
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// step returns the next message, or nil when there is none yet.
func (r *memReader) step() (msg *message.Message, up bool, wake <-chan struct{}) {
	m := r.mem
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return nil, false, m.wake
	}
	s := m.stream(r.topic)
	switch {
	case r.next == 0:
		r.next = s.first
	case r.next < s.first:
		r.next = s.first
		return newMark(MetaGap, s.first), true, m.wake
	}
	if r.next < s.next() {
		rec := s.records[r.next-s.first]
		r.next++
		return newMessage(rec), true, m.wake
	}
	if r.ended != r.next {
		r.ended = r.next
		return newMark(MetaEnd, r.next), true, m.wake
	}
	return nil, true, m.wake
}

func (r *memReader) report(up bool) {
	if r.known && r.up == up {
		return
	}
	r.known, r.up = true, up
	state := State{Topic: r.topic, Up: up}
	if !up {
		state.Err = ErrOutage
	}
	r.ended = 0
	r.mem.opts.state(state)
}
