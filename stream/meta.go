package stream

import (
	"context"
	"strconv"

	"github.com/ThreeDotsLabs/watermill/message"
)

// Metadata keys of messages.
const (
	// MetaOffset carries a record's offset.
	MetaOffset = "offset"
	// MetaGap marks a message without payload: records were removed before
	// they were read, and the stream now begins at the offset given.
	MetaGap = "gap"
	// MetaEnd marks a message without payload: the reader has reached the end
	// of the stream, and the next record will have the offset given.
	MetaEnd = "end"
	// MetaAt carries the time of the append in milliseconds since the Unix
	// epoch, by the log's clock.
	MetaAt = "at"
)

// Offset returns the offset of a record's message. It reports false for the
// marks of Gap and End.
func Offset(msg *message.Message) (uint64, bool) {
	return metaNumber(msg, MetaOffset)
}

// Gap returns the first kept offset of a gap's message.
func Gap(msg *message.Message) (uint64, bool) {
	return metaNumber(msg, MetaGap)
}

// End returns the next offset of a message that marks the stream's end.
func End(msg *message.Message) (uint64, bool) {
	return metaNumber(msg, MetaEnd)
}

func metaNumber(msg *message.Message, key string) (uint64, bool) {
	n, err := strconv.ParseUint(msg.Metadata.Get(key), 10, 64)
	return n, err == nil
}

type fromKey struct{}

// From returns a context that makes Subscribe start at offset. Zero stands
// for the first record that is kept.
func From(ctx context.Context, offset uint64) context.Context {
	return context.WithValue(ctx, fromKey{}, offset)
}

func fromOf(ctx context.Context, fallback uint64) uint64 {
	if offset, ok := ctx.Value(fromKey{}).(uint64); ok {
		return offset
	}
	return fallback
}
