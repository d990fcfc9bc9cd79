package logsrv

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/stream"
)

// topic is one stream. Its log's lock guards it.
type topic struct {
	records []stream.Record
	first   uint64
	bytes   int
	// wake is closed when a record is added.
	wake chan struct{}
}

func newTopic() *topic {
	return &topic{first: 1, wake: make(chan struct{})}
}

func (t *topic) next() uint64 {
	return t.first + uint64(len(t.records))
}

func (t *topic) add(now time.Time, data []byte) uint64 {
	offset := t.next()
	t.records = append(t.records, stream.Record{Offset: offset, At: now.UnixMilli(), Data: data})
	t.bytes += len(data)
	close(t.wake)
	t.wake = make(chan struct{})
	return offset
}

// drop removes the oldest record and returns its size.
func (t *topic) drop() int {
	n := len(t.records[0].Data)
	t.records[0] = stream.Record{}
	t.records = t.records[1:]
	t.first++
	t.bytes -= n
	return n
}

func (t *topic) batch(from uint64, limit int) stream.Batch {
	b := stream.Batch{First: t.first, Next: t.next()}
	size := 0
	for offset := from; offset < b.Next && len(b.Records) < limit; offset++ {
		r := t.records[offset-t.first]
		size += len(r.Data)
		if size > maxBatchBytes && len(b.Records) > 0 {
			break
		}
		b.Records = append(b.Records, r)
	}
	return b
}
