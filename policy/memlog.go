package policy

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// errLost is the answer of a MemLog that was told to lose answers.
var errLost = errors.New("no answer from the log")

// MemLog is a Log in memory, with the faults that the platform's log can have.
// It is safe for concurrent use.
type MemLog struct {
	mu      sync.Mutex
	first   uint64
	records []Record
	appends int
	lose    int
	drop    int
}

// NewMemLog returns an empty log.
func NewMemLog() *MemLog {
	return &MemLog{first: firstOffset}
}

// LoseAnswers makes the next n appends take effect without an answer.
func (l *MemLog) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Drop makes the next n appends fail without effect.
func (l *MemLog) Drop(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = n
}

// Trim removes the entries before the offset first.
func (l *MemLog) Trim(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first > l.first {
		l.records = slices.Clone(l.records[min(first-l.first, uint64(len(l.records))):])
		l.first = first
	}
}

// Appends returns the number of appends that were tried.
func (l *MemLog) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements Log.
func (l *MemLog) Append(_ context.Context, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.drop > 0 {
		l.drop--
		return errLost
	}
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, Record{Offset: offset, Data: slices.Clone(data)})
	if l.lose > 0 {
		l.lose--
		return errLost
	}
	return nil
}

// Read implements Log.
func (l *MemLog) Read(_ context.Context, from uint64) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = max(from, l.first)
	skip := min(from-l.first, uint64(len(l.records)))
	return Page{First: from, Records: slices.Clone(l.records[skip:])}, nil
}
