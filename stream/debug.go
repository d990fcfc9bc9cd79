package stream

import (
	"context"
	"fmt"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
)

// Debug logs each call of another Port.
type Debug struct {
	inner Port
	log   logr.Logger
}

// NewDebug returns a Port that logs each call of inner and passes it on.
func NewDebug(inner Port, log logr.Logger) *Debug {
	return &Debug{inner: inner, log: log}
}

// Publish implements message.Publisher.
func (d *Debug) Publish(topic string, messages ...*message.Message) error {
	err := d.inner.Publish(topic, messages...)
	for _, msg := range messages {
		d.log.Info("publish", "topic", topic, "id", msg.UUID, "bytes", len(msg.Payload),
			"offset", msg.Metadata.Get(MetaOffset), "error", err)
	}
	if err != nil {
		return fmt.Errorf("publish to %q: %w", topic, err)
	}
	return nil
}

// Subscribe implements message.Subscriber.
func (d *Debug) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	msgs, err := d.inner.Subscribe(ctx, topic)
	d.log.Info("subscribe", "topic", topic, "from", fromOf(ctx, 0), "error", err)
	if err != nil {
		return nil, fmt.Errorf("subscribe to %q: %w", topic, err)
	}
	out := make(chan *message.Message)
	go func() {
		defer close(out)
		for msg := range msgs {
			d.log.Info("message", "topic", topic, "bytes", len(msg.Payload), "offset", msg.Metadata.Get(MetaOffset),
				"gap", msg.Metadata.Get(MetaGap), "end", msg.Metadata.Get(MetaEnd))
			select {
			case out <- msg:
			case <-msg.Context().Done():
			}
		}
	}()
	return out, nil
}

// Close closes the inner port.
func (d *Debug) Close() error {
	d.log.Info("close")
	if err := d.inner.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
