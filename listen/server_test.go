package listen_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/listen"
)

// testTimeout is the timeout for steps of a test that would hang if the code is faulty.
const testTimeout = 20 * time.Second

func get(c *qt.C, addr string) (int, string) {
	response, err := http.Get("http://" + addr + "/")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(data)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func TestDrainEnds(t *testing.T) {
	c := qt.New(t)
	s, err := listen.Serve("127.0.0.1:0", http.HandlerFunc(ok))
	c.Assert(err, qt.IsNil)
	_, body := get(c, s.Addr().String())
	c.Assert(body, qt.Equals, "ok")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	select {
	case err := <-drained:
		c.Assert(err, qt.IsNil)
	case <-time.After(testTimeout):
		c.Fatal("a drain without requests did not finish")
	}
	c.Assert(s.Close(), qt.IsNil)
	_, err = net.Dial("tcp4", s.Addr().String())
	c.Assert(err, qt.IsNotNil)
}

func TestDrainWaitsForRequests(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	s, err := listen.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-end
		ok(w, r)
	}))
	c.Assert(err, qt.IsNil)
	statuses := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + s.Addr().String() + "/")
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	<-begun
	s.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	c.Assert(s.Active(), qt.Equals, 1)
	close(end)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(<-drained, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
}

func TestDrainGivesUpWithItsContext(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	s, err := listen.Serve("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-end
	}))
	c.Assert(err, qt.IsNil)
	go func() {
		if response, err := http.Get("http://" + s.Addr().String() + "/"); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	close(end)
	c.Assert(s.Close(), qt.IsNil)
}
