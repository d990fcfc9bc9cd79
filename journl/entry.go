package journl

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/wire"
)

// States of an entry. The numbers are part of the peers' protocol.
const (
	// stateRunning: the request was given to the upstream or is about to be.
	stateRunning uint8 = 1
	// stateDone: the upstream answered.
	stateDone uint8 = 2
	// stateUnknown: the request may have run.
	stateUnknown uint8 = 3
	// stateGone: the request did not run; the key is free again.
	stateGone uint8 = 4
	// stateHeader: no key, but the message's number in Key, the epoch in
	// Request and the age of the floor in Age.
	stateHeader uint8 = 5
	// stateAck: no key, but the number of the confirmed message in Key.
	stateAck uint8 = 6
)

// keyID names an idempotency key: its time in milliseconds in the first six
// bytes, then a hash of its text.
type keyID [16]byte

func newKeyID(text string, made time.Time) keyID {
	var id keyID
	binary.BigEndian.PutUint64(id[:8], uint64(made.UnixMilli())<<16)
	second := xxhash.NewWithSeed(uint64(len(text)) + 1)
	_, _ = second.WriteString(text)
	binary.BigEndian.PutUint16(id[6:8], uint16(second.Sum64()))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(text))
	return id
}

// made returns the time that the key carries.
func (k keyID) made() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k[:8]) >> 16))
}

// entry is one key as the journal knows it.
type entry struct {
	id          keyID
	fingerprint uint64
	seen        time.Time
	state       uint8
	status      int
	body        []byte
	kind        string
	// whole reports that body is the whole answer.
	whole bool
	// twin is the copy, in twinLog, of an entry whose shard was parted while its
	// request ran.
	twin    *entry
	twinLog *shardLog
}

// size is the entry's part in the byte bound.
func (e *entry) size() int { return len(e.body) + len(e.kind) }

// wire returns the entry as it travels to another daemon. A request that has
// not ended by then may have run.
func (e *entry) wire(now time.Time) wire.Entry {
	w := wire.Entry{
		Key:     e.id,
		Request: e.fingerprint,
		Age:     now.Sub(e.seen),
		State:   e.state,
	}
	if e.whole {
		w.Status, w.Body, w.Type = e.status, e.body, e.kind
	}
	return w
}
