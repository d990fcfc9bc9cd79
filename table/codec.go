package table

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the record format.
const (
	// MaxRecord is the largest size of an encoded record, in bytes.
	MaxRecord = 128 << 10
	// MaxChanges is the largest number of slot changes in one record.
	MaxChanges = 512
	// MaxChunk is the largest number of data bytes in one snapshot chunk.
	MaxChunk = 60 << 10
	// maxVotes bounds the votes that one record cites.
	maxVotes = 64
	// maxHost bounds a host name, in bytes, so that a record of MaxChanges slots
	// does not exceed MaxRecord.
	maxHost = 96
	// maxName bounds the name of a service, a place, a region or an operator, and
	// an address, in bytes.
	maxName = 256
)

// ErrTooLarge reports a record of more than MaxRecord bytes, or a snapshot that
// needs more chunks than one may have.
var ErrTooLarge = errors.New("encoded size exceeds the limit")

// ErrMalformed reports a record that does not conform to the record format.
var ErrMalformed = errors.New("malformed record")

var recordDecMode = mustRecordDecMode()

func mustRecordDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: MaxChanges * 4,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of a record. Its errors wrap ErrTooLarge or
// ErrMalformed.
func Encode(r Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	if len(data) > MaxRecord {
		return nil, fmt.Errorf("encode record %s of %d bytes: %w", r.ID, len(data), ErrTooLarge)
	}
	return data, nil
}

// Decode reads the CBOR form of a record. Its errors wrap ErrTooLarge or
// ErrMalformed.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecord {
		return Record{}, fmt.Errorf("decode record of %d bytes: %w", len(data), ErrTooLarge)
	}
	var r Record
	if err := recordDecMode.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w: %w", ErrMalformed, err)
	}
	if err := r.check(); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
