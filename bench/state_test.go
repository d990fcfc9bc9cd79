package bench_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// claimed is the number of slots in one claim of the tables built here.
const claimed = 64

// builder appends records to a table.
type builder struct {
	b       *testing.B
	table   *table.Table
	members []table.Member
	ids     map[ident.Incarnation]uint64
}

func (l *builder) apply(rec table.Record) {
	l.b.Helper()
	l.ids[rec.ID.By]++
	rec.ID.N = l.ids[rec.ID.By]
	if res := l.table.Apply(l.table.Next(), rec); !res.Applied {
		l.b.Fatalf("record of kind %d: %v", rec.Kind, res.Reason)
	}
}

// build returns a table of members, shared by services, that own all slots.
func build(b *testing.B, members, services int, slots uint32) *builder {
	l := &builder{b: b, table: table.New(), ids: map[ident.Incarnation]uint64{}}
	name := func(i int) ident.Service { return ident.Service(fmt.Sprintf("%s-%d", service, i%services)) }
	for i := range members {
		place := ident.Place(fmt.Sprintf("nl-west-%d", i%8))
		host := ident.Host(fmt.Sprintf("%s-%d", place, i))
		m := table.Member{
			Inc: ident.NewIncarnation(host, 1<<62+uint64(i)), Place: place, Region: "nl-west", Service: name(i),
			Peer: "10.20.130.140:7103", Caller: "http://10.20.130.140:7101", Admin: "http://10.20.130.140:7102",
			Slots: 20, Checks: true,
		}
		l.members = append(l.members, m)
		l.apply(table.Record{ID: ident.RecordID{By: m.Inc}, Kind: table.KindJoin, Join: &m})
	}
	at := func(i int) ident.Incarnation { return l.members[i%members].Inc }
	for i, m := range l.members {
		l.apply(table.Record{ID: ident.RecordID{By: m.Inc}, Kind: table.KindWitnesses, WitnessList: &table.WitnessList{
			Witnesses: []ident.Incarnation{at(i + 1), at(i + 2), at(i + 3)},
		}})
	}
	for i := range services {
		l.apply(table.Record{ID: ident.RecordID{By: at(i)}, Kind: table.KindService, Service: &table.Service{
			Name: name(i), Slots: slots,
		}})
		for n := uint32(0); n < slots; n += claimed {
			l.claim(i+services*int(n/claimed), name(i), n, min(claimed, slots-n))
		}
	}
	return l
}

// claim gives slots to a member, with successors that differ by slot.
func (l *builder) claim(i int, name ident.Service, first, count uint32) {
	at := func(i int) ident.Incarnation { return l.members[i%len(l.members)].Inc }
	c := &table.Changes{Service: name, To: at(i)}
	for n := range count {
		c.Slots = append(c.Slots, table.Change{
			Slot:       ident.Slot(first + n),
			Successors: [2]ident.Incarnation{at(i + 1 + int(n)%5), at(i + 7 + int(n)%3)},
		})
	}
	l.apply(table.Record{ID: ident.RecordID{By: at(i)}, Kind: table.KindClaim, Changes: c})
}

// BenchmarkTable measures a table by members, services and slots: the bytes
// and records of its snapshot, its heap, and the time of a restore. Run it
// with -benchtime 20x.
func BenchmarkTable(b *testing.B) {
	const copies = 16
	for _, size := range []struct {
		members, services int
		slots             uint32
	}{
		{50, 1, 4096}, {100, 1, 4096}, {200, 1, 4096}, {400, 1, 4096},
		{400, 1, 1024}, {400, 1, 16384}, {400, 1, 65536}, {400, 4, 4096}, {400, 16, 4096},
	} {
		b.Run(fmt.Sprintf("members=%d/services=%d/slots=%d", size.members, size.services, size.slots), func(b *testing.B) {
			l := build(b, size.members, size.services, size.slots)
			chunks, err := l.table.Snapshot(l.table.Next() - 1)
			if err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for i := range chunks {
				data, err := table.Encode(table.Record{
					ID: ident.RecordID{By: l.members[0].Inc, N: 1 << 40}, Kind: table.KindSnapshot, Chunk: &chunks[i],
				})
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
			}
			kept := make([]*table.Table, copies)
			before := heapInUse()
			for i := range kept {
				kept[i], _ = table.Restore(chunks)
			}
			heap := heapInUse() - before
			for b.Loop() {
				if _, err := table.Restore(chunks); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "snapshot-B")
			b.ReportMetric(float64(len(chunks)), "records")
			b.ReportMetric(float64(heap)/copies/1024, "heap-KiB")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkBoot measures how long the decision code takes from the first
// record that the log still has, a snapshot and the records after it, until it
// routes, and the heap of a machine. Run it with -benchtime 20x.
func BenchmarkBoot(b *testing.B) {
	const tail = 2000
	for _, members := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("members=%d/services=4/slots=4096", members), func(b *testing.B) {
			l := build(b, members, 4, 4096)
			chunks, err := l.table.Snapshot(l.table.Next() - 1)
			if err != nil {
				b.Fatal(err)
			}
			self := l.members[0]
			self.Inc = ident.NewIncarnation("nl-west-0-new", 77)
			var m *core.Machine
			before := heapInUse()
			for b.Loop() {
				m = boot(b, self, l.members[1].Inc, chunks, tail)
			}
			b.ReportMetric(float64(heapInUse()-before)/1024, "heap-KiB")
			runtime.KeepAlive(m)
			runtime.KeepAlive(l)
		})
	}
}

// boot reads a snapshot that begins the stream and records that follow it.
func boot(b *testing.B, self table.Member, by ident.Incarnation, chunks []table.Chunk, tail uint64) *core.Machine {
	m, now := core.New(self), time.Unix(1_700_000_000, 0)
	offset, id := chunks[0].At+1, uint64(1<<40)
	next := func(rec table.Record) {
		id++
		rec.ID = ident.RecordID{By: by, N: id}
		m.Step(now, core.StreamRecord{Offset: offset, Record: rec})
		offset++
	}
	for i := range chunks {
		next(table.Record{Kind: table.KindSnapshot, Chunk: &chunks[i]})
	}
	for range tail {
		next(table.Record{Kind: table.KindLeave, Removal: &table.Removal{Inc: ident.NewIncarnation("gone", 1)}})
	}
	m.Step(now, core.CaughtUp{Next: offset})
	if _, ok := m.View().Lookup(service+"-0", 7); !ok {
		b.Fatal("no table after the snapshot")
	}
	return m
}
