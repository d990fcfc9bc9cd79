// Package plog puts the settings stream of the platform's log behind the port
// that package policy publishes through.
//
// # Usage
//
//	publisher := policy.NewPublisher(plog.New(stream.Dial(url)), roots)
package plog

import (
	"context"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

// Log is a policy.Log over a stream.Port.
type Log struct {
	port stream.Port
}

// New returns the settings stream of a log.
func New(port stream.Port) *Log {
	return &Log{port: port}
}

// Append implements policy.Log.
func (l *Log) Append(_ context.Context, data []byte) error {
	if err := l.port.Publish(stream.Settings, message.NewMessage(watermill.NewUUID(), data)); err != nil {
		return fmt.Errorf("append settings: %w", err)
	}
	return nil
}

// Read implements policy.Log.
func (l *Log) Read(ctx context.Context, from uint64) (policy.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	messages, err := l.port.Subscribe(stream.From(ctx, from), stream.Settings)
	if err != nil {
		return policy.Page{}, fmt.Errorf("read settings: %w", err)
	}
	page := policy.Page{First: from}
	for msg := range messages {
		ended := take(&page, msg)
		msg.Ack()
		if ended {
			return page, nil
		}
	}
	return policy.Page{}, fmt.Errorf("read settings: %w", context.Cause(ctx))
}

// take adds a message to a page. It reports true at the stream's end.
func take(page *policy.Page, msg *message.Message) bool {
	if _, ok := stream.End(msg); ok {
		return true
	}
	if first, ok := stream.Gap(msg); ok {
		page.First = first
		return false
	}
	if offset, ok := stream.Offset(msg); ok {
		if len(page.Records) == 0 && page.First == 0 {
			page.First = offset
		}
		page.Records = append(page.Records, policy.Record{Offset: offset, Data: msg.Payload})
	}
	return false
}
