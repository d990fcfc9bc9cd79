package calls

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxIdempotencyKeyLength is the largest length of an Idempotency-Key, in bytes.
const maxIdempotencyKeyLength = 128

// ErrIdempotencyKey is returned for an Idempotency-Key from which no creation time
// can be read.
var ErrIdempotencyKey = errors.New("neither a version 7 UUID nor of the form unix-milliseconds-text")

// NewIdempotencyKey returns a new Idempotency-Key with the creation time now: a
// version 7 UUID, whose first 48 bits are the Unix time in milliseconds.
func NewIdempotencyKey(now time.Time) (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("generate idempotency key: %w", err)
	}
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String(), nil
}

// IdempotencyTime returns the creation time that an Idempotency-Key contains, with
// millisecond precision. The key must be a version 7 UUID or have the form
// "unix-milliseconds-text" with a 13-digit number; otherwise the error wraps
// ErrIdempotencyKey.
func IdempotencyTime(key string) (time.Time, error) {
	if len(key) > maxIdempotencyKeyLength {
		return time.Time{}, fmt.Errorf("idempotency key of %d bytes, at most %d allowed: %w",
			len(key), maxIdempotencyKeyLength, ErrIdempotencyKey)
	}
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != 7 {
			return time.Time{}, fmt.Errorf("idempotency key: %w", ErrIdempotencyKey)
		}
		var ms int64
		for _, b := range id[:6] {
			ms = ms<<8 | int64(b)
		}
		return time.UnixMilli(ms), nil
	}
	digits, text, ok := strings.Cut(key, "-")
	if !ok || len(digits) != 13 || text == "" {
		return time.Time{}, fmt.Errorf("idempotency key: %w", ErrIdempotencyKey)
	}
	ms, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return time.Time{}, fmt.Errorf("idempotency key: %w", ErrIdempotencyKey)
	}
	return time.UnixMilli(int64(ms)), nil
}
