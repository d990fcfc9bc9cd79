package klog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/klog"
)

// blockingWriter is a writer whose Write blocks until release is closed. It closes
// started on the first Write.
type blockingWriter struct {
	started chan struct{}
	release chan struct{}
	once    sync.Once
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockingWriter) Write(data []byte) (int, error) {
	s.once.Do(func() { close(s.started) })
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

// TestQueueNeverBlocks checks that a full queue drops and counts further lines
// without blocking the logger while the underlying writer is blocked.
func TestQueueNeverBlocks(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{started: make(chan struct{}), release: make(chan struct{})}
	q := klog.NewQueue(w, 4)
	_, err := q.Write([]byte("first\n"))
	c.Assert(err, qt.IsNil)
	<-w.started
	for range 100 {
		n, err := q.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	close(w.release)
	c.Assert(q.Close(), qt.IsNil)
	text := w.written.String()
	c.Check(strings.HasPrefix(text, "first\n"), qt.IsTrue)
	c.Check(strings.Count(text, "line\n"), qt.Equals, 4)
	c.Check(strings.Contains(text, `msg="log lines dropped" count=96`), qt.IsTrue, qt.Commentf("%s", text))
}
