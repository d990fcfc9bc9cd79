package model

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/table"
)

// Log is the log of a world.
type Log struct {
	world   *World
	Up      bool
	first   uint64
	records []table.Record
	flight  []flight
	table   *table.Table
	// Keep is the number of records that retention leaves; zero means all.
	Keep int
	// Stuck keeps appends from landing, though the log seems to be up.
	Stuck bool
	// Ordered has appends land in the order in which they were sent.
	Ordered bool
}

// flight is an append on its way.
type flight struct {
	at  time.Duration
	rec table.Record
}

func newLog(w *World) Log { return Log{world: w, Up: true, table: table.New()} }

// Records returns what the log holds.
func (l *Log) Records() []table.Record { return l.records }

// Next returns the offset of the next record.
func (l *Log) Next() uint64 { return l.first + uint64(len(l.records)) }

// send takes an append, which may land late, more than once, or, while the
// log is down, only when it is up again.
func (l *Log) send(rec table.Record) {
	w := l.world
	w.count.Appends++
	data, err := table.Encode(rec)
	if err != nil {
		w.check.fail("append refused: %v", err)
		return
	}
	w.count.AppendBytes += len(data)
	if rec, err = table.Decode(data); err != nil {
		w.check.fail("append unreadable: %v", err)
		return
	}
	if w.rng.Float64() < w.cfg.Noise.Lose {
		return
	}
	for {
		l.flight = append(l.flight, flight{at: w.now + w.upTo(w.cfg.Noise.Append), rec: rec})
		if w.rng.Float64() >= w.cfg.Noise.Repeat {
			return
		}
	}
}

// land puts appends that are due on the log, in random order as a rule.
func (l *Log) land() {
	if !l.Up || l.Stuck {
		return
	}
	var due []table.Record
	l.flight = slices.DeleteFunc(l.flight, func(f flight) bool {
		if f.at > l.world.now {
			return false
		}
		due = append(due, f.rec)
		return true
	})
	if !l.Ordered {
		l.world.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, rec := range due {
		l.put(rec)
	}
	if l.Keep > 0 && len(l.records) > l.Keep {
		l.Trim(len(l.records) - l.Keep)
	}
}

// Trim removes the oldest records.
func (l *Log) Trim(n int) {
	l.records = slices.Clone(l.records[n:])
	l.first += uint64(n)
}

func (l *Log) put(rec table.Record) {
	offset := l.Next()
	res := l.table.Apply(offset, rec)
	l.records = append(l.records, rec)
	l.world.trace.add(line{at: l.world.now, by: rec.ID.By, record: &rec, result: res})
	if !res.Applied {
		l.world.check.applied(l.world, offset)
		return
	}
	l.world.count.record(&rec)
	l.world.check.applied(l.world, offset)
}
