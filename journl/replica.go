package journl

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// partEntries bounds the entries in one part of a transfer.
	partEntries = 512
	// partBytes bounds the answers in one part of a transfer, in bytes.
	partBytes = wire.MaxMessage / 2
)

// Receive takes entries from a shard's owner and returns the confirmation to
// send back; nil when the message is one itself or is malformed.
func (j *Journal) Receive(m *wire.Journal) *wire.Journal {
	if m == nil || len(m.Entries) == 0 || m.Entries[0].State != stateHeader {
		return nil
	}
	header := m.Entries[0]
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	log := j.shards[m.Shard]
	if log == nil {
		log = newShardLog(&j.sum, now.Add(-header.Age))
		j.shards[m.Shard] = log
	}
	for i := range m.Entries[1:] {
		j.merge(log, &m.Entries[1+i], now)
	}
	if !log.owned {
		log.left = now
		log.raise(now.Add(-header.Age))
		log.note(ident.Epoch(header.Request), m.Transfer && m.Last)
	}
	j.bound(log)
	return &wire.Journal{Shard: m.Shard, Entries: []wire.Entry{{Key: header.Key, State: stateAck}}}
}

// note keeps the epoch under which a replica is whole. An owner that takes
// over from the last one goes on with the same replica; after any greater
// change the replica is not whole until it was sent anew.
func (s *shardLog) note(epoch ident.Epoch, whole bool) {
	switch {
	case whole:
		s.epoch = epoch
	case s.epoch != 0 && epoch > s.epoch+1:
		s.epoch = 0
	case s.epoch != 0 && epoch > s.epoch:
		s.epoch = epoch
	}
}

// merge takes one entry of another daemon.
func (j *Journal) merge(log *shardLog, w *wire.Entry, now time.Time) {
	known := log.entries[w.Key]
	switch {
	case w.State == stateGone:
		if known != nil && known.fingerprint == w.Request && !log.owned {
			log.remove(known)
		}
		return
	case w.State != stateRunning && w.State != stateDone && w.State != stateUnknown:
		return
	case known != nil && (known.state != stateRunning || log.owned):
		return
	case known != nil:
		log.remove(known)
	}
	e := &entry{
		id:          w.Key,
		fingerprint: w.Request,
		seen:        now.Add(-max(0, w.Age)),
		state:       w.State,
	}
	if w.State == stateDone && w.Status != 0 && len(w.Body) <= MaxStored {
		e.whole, e.status, e.body, e.kind = true, w.Status, w.Body, w.Type
	}
	if log.owned && e.state == stateRunning {
		e.state = stateUnknown
	}
	log.add(e)
}

// Export returns the whole journal of a shard in parts for another daemon.
// Epoch is the one under which this member owned the shard.
func (j *Journal) Export(shard ident.Shard, epoch ident.Epoch) []*wire.Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	log := j.shards[shard]
	if log == nil {
		log = newShardLog(&totals{}, time.Time{})
		if epoch > 1 {
			log.raise(now.Add(j.skew))
		}
	}
	part := &wire.Journal{Shard: shard, Transfer: true, Entries: []wire.Entry{j.header(log, epoch, now)}}
	parts := []*wire.Journal{part}
	size := 0
	for _, e := range log.order[log.head:] {
		if log.entries[e.id] != e {
			continue
		}
		if len(part.Entries) > partEntries || size > partBytes {
			part = &wire.Journal{Shard: shard, Transfer: true, Entries: []wire.Entry{j.header(log, epoch, now)}}
			parts, size = append(parts, part), 0
		}
		part.Entries = append(part.Entries, e.wire(now))
		size += e.size()
	}
	part.Last = true
	return parts
}

// header returns the entry that opens every message about a shard; the sender
// numbers it.
func (j *Journal) header(log *shardLog, epoch ident.Epoch, now time.Time) wire.Entry {
	age := j.window
	if !log.floor.IsZero() {
		age = min(age, now.Sub(log.floor))
	}
	return wire.Entry{Request: uint64(epoch), State: stateHeader, Age: age}
}

// Floor returns the time up to which keys that the journal does not hold are
// refused for a shard.
func (j *Journal) Floor(shard ident.Shard) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if log := j.shards[shard]; log != nil {
		return log.floor
	}
	return time.Time{}
}
