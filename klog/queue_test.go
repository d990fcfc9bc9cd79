package klog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/klog"
)

// stuck is a writer that waits until it is released.
type stuck struct {
	begun   chan struct{}
	release chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// Lines beyond the queue's room are dropped and counted; nobody waits for them.
func TestQueueNeverBlocks(t *testing.T) {
	c := qt.New(t)
	w := &stuck{begun: make(chan struct{}), release: make(chan struct{})}
	q := klog.NewQueue(w, 4)
	_, err := q.Write([]byte("first\n"))
	c.Assert(err, qt.IsNil)
	<-w.begun
	for range 100 {
		n, err := q.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	close(w.release)
	c.Assert(q.Close(), qt.IsNil)
	text := w.text.String()
	c.Check(strings.HasPrefix(text, "first\n"), qt.IsTrue)
	c.Check(strings.Count(text, "line\n"), qt.Equals, 4)
	c.Check(strings.Contains(text, `msg="log lines dropped" count=96`), qt.IsTrue, qt.Commentf("%s", text))
}
