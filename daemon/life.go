package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/stream"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// tickInterval is the time between two ticks of the decision code.
	tickInterval = 50 * time.Millisecond
	// inputsPending is the number of inputs that wait for the decision code.
	// Messages of peers beyond it are lost, as they may be on the way;
	// records of the log wait.
	inputsPending = 4096
	// firstOffset is that of the first record of a stream. Reading from it
	// tells when retention has removed records already. The decision code
	// counts offsets from zero.
	firstOffset = 1
)

// performer carries out what the decision code of one incarnation wants.
type performer interface {
	perform(l *life, action core.Action)
}

// life is one incarnation of the daemon: its decision code, its reader of the
// ownership stream and its writer.
type life struct {
	self    table.Member
	machine *core.Machine
	inputs  *ring.Ring[core.Input]
	writer  *stream.Writer
	port    stream.Port
	clock   clockwork.Clock
	log     logr.Logger
	does    performer
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// halted is closed, with reason set, when the incarnation has ended.
	halted chan struct{}
	reason string
	// left is closed when a drain is complete.
	left chan struct{}
	// served is what the last published view serves.
	served []core.ServedShard
	once   sync.Once
	gone   sync.Once
}

// newLife starts an incarnation; it ends with ctx or with close.
func newLife(ctx context.Context, self table.Member, machine *core.Machine, writer *stream.Writer, o options, does performer) (*life, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &life{
		self:    self,
		machine: machine,
		inputs:  ring.New[core.Input](inputsPending),
		writer:  writer,
		port:    o.port,
		clock:   o.clock,
		log:     o.log.WithValues("member", self.Inc.String()),
		does:    does,
		cancel:  cancel,
		halted:  make(chan struct{}),
		left:    make(chan struct{}),
	}
	records, err := o.port.Subscribe(stream.From(ctx, firstOffset), stream.Ownership)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("subscribe to the ownership stream: %w", err)
	}
	l.start(ctx, records)
	return l, nil
}

func (l *life) start(ctx context.Context, records <-chan *message.Message) {
	ticks := l.clock.NewTicker(tickInterval)
	l.tasks.Add(3)
	go func() {
		defer l.tasks.Done()
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks.Chan():
				l.inputs.Put(core.Tick{})
			}
		}
	}()
	go func() {
		defer l.tasks.Done()
		for msg := range records {
			l.read(ctx, msg)
			msg.Ack()
		}
	}()
	go func() {
		defer l.tasks.Done()
		for {
			in, err := l.inputs.Get(ctx)
			if err != nil {
				return
			}
			for _, action := range l.machine.Step(l.clock.Now(), in) {
				l.does.perform(l, action)
			}
		}
	}()
}

// read passes one message of the ownership stream to the decision code.
func (l *life) read(ctx context.Context, msg *message.Message) {
	if next, ok := stream.End(msg); ok {
		_ = l.inputs.Push(ctx, core.CaughtUp{Next: next - firstOffset})
		return
	}
	if first, ok := stream.Gap(msg); ok {
		_ = l.inputs.Push(ctx, core.Gap{First: first - firstOffset})
		return
	}
	offset, ok := stream.Offset(msg)
	if !ok {
		return
	}
	record, err := table.Decode(msg.Payload)
	if err != nil {
		// An unreadable record is void for every reader alike.
		l.log.Error(err, "record is void", "offset", offset)
		return
	}
	if record.ID.By == l.self.Inc {
		l.writer.Seen(record.ID)
	}
	_ = l.inputs.Push(ctx, core.StreamRecord{Offset: offset - firstOffset, Record: record})
}

// order passes an input that may not be lost to the decision code.
func (l *life) order(ctx context.Context, in core.Input) {
	_ = l.inputs.Push(ctx, in)
}

// halt marks the incarnation as ended.
func (l *life) halt(reason string) {
	l.once.Do(func() {
		l.reason = reason
		close(l.halted)
	})
}

// leave marks a drain as complete.
func (l *life) leave() {
	l.gone.Do(func() { close(l.left) })
}

// close ends all duties of the incarnation and waits for them.
func (l *life) close() {
	l.cancel()
	l.tasks.Wait()
	if err := l.writer.Close(); err != nil {
		l.log.Error(err, "close writer")
	}
}
