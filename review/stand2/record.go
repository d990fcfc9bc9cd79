package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start.
type record struct {
	mu         sync.Mutex
	file       *os.File
	begun      time.Time
	violations []string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err, "create record")
	return &record{file: f, begun: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.line("BROKEN %s", text)
}

// broken returns the violations so far.
func (r *record) broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// unable ends the program because the case can't run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

func must(err error, what string) {
	if err != nil {
		unable("%s: %v", what, err)
	}
}
