package upstrm_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

var errCrash = errors.New("upstream crashed")

// heldTime is how long a held request takes when it is resent in a later run.
const heldTime = 2 * time.Millisecond

// crashingUpstream is an upstream that crashes on a poison request. It blocks
// requests for /held/N until the end of run N, and for heldTime in any
// other run.
type crashingUpstream struct {
	mu      sync.Mutex
	run     int
	runs    map[string]int
	down    chan struct{}
	arrived chan struct{}
}

func newCrashingUpstream() *crashingUpstream {
	return &crashingUpstream{run: 1, runs: make(map[string]int), down: make(chan struct{}), arrived: make(chan struct{}, 1024)}
}

func (f *crashingUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.runs[r.URL.Path]++
	down, held := f.down, fmt.Sprintf("/held/%d/", f.run)
	f.mu.Unlock()
	f.arrived <- struct{}{}
	switch {
	case strings.HasPrefix(r.URL.Path, "/poison"):
		f.mu.Lock()
		close(f.down)
		f.down = make(chan struct{})
		f.run++
		f.mu.Unlock()
		return nil, errCrash
	case strings.HasPrefix(r.URL.Path, held):
		<-down
		return nil, errCrash
	case strings.HasPrefix(r.URL.Path, "/held/"):
		select {
		case <-down:
			return nil, errCrash
		case <-time.After(heldTime):
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

func (f *crashingUpstream) count(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[path]
}

func callTo(path string) *calls.Call {
	call := newCall(http.MethodGet, path, "")
	call.Path = path
	return call
}

// TestPoisonAmongInnocents crashes the upstream twice by the same request while
// a hundred others are in flight. During the second crash the hundred requests
// of the first one are resent too. Only the poison request may be quarantined.
func TestPoisonAmongInnocents(t *testing.T) {
	c := qt.New(t)
	quarantine := poison.New()
	reports := make(chan *wire.Suspects, 16)
	upstream := newCrashingUpstream()
	x := upstrm.New(func() upstrm.View { return newView() }, upstrm.WithQuarantine(quarantine),
		upstrm.WithRoundTripper(upstream), upstrm.WithCrashReporter(func(s *wire.Suspects) { reports <- s }))
	defer x.Close()

	const innocents = 100
	var resent []string
	crash := func(round int) {
		attach(t, x, "http://upstream.invalid", fmt.Sprintf("run-%d", round), true)
		var wg sync.WaitGroup
		run := func(path string) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _, _ = outcome(x, callTo(path))
			}()
		}
		for i := range innocents {
			run(fmt.Sprintf("/held/%d/%d", round, i))
		}
		for range innocents {
			<-upstream.arrived
		}
		for i, path := range resent {
			if i == innocents/2 {
				run("/poison")
			}
			run(path)
		}
		if round == 1 {
			run("/poison")
		}
		wg.Wait()
		attach(t, x, "http://upstream.invalid", fmt.Sprintf("run-%d-after", round), true)
		<-reports
	}
	crash(1)
	for i := range innocents {
		resent = append(resent, fmt.Sprintf("/held/1/%d", i))
	}
	for len(upstream.arrived) > 0 {
		<-upstream.arrived
	}
	crash(2)

	_, reason, _ := outcome(x, callTo("/poison"))
	c.Assert(reason, qt.Equals, calls.ReasonQuarantine)
	c.Assert(upstream.count("/poison"), qt.Equals, 2)
	for _, s := range quarantine.List() {
		condemned := poison.IsBlocked(s)
		c.Assert(condemned, qt.Equals, s.Fingerprint == poison.Fingerprint(callTo("/poison"), nil))
	}
	for i := range innocents {
		for round := 1; round <= 2; round++ {
			path := fmt.Sprintf("/held/%d/%d", round, i)
			pass, err := quarantine.Enter(context.Background(), service, poison.Fingerprint(callTo(path), nil))
			c.Assert(err, qt.IsNil)
			pass.Leave(poison.Completed)
		}
	}
}

func TestCrashIsFoundByARefusedConnection(t *testing.T) {
	c := qt.New(t)
	reports := make(chan *wire.Suspects, 1)
	var server *httptest.Server
	x, server := newExecutor(t, newView(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = server.Listener.Close()
		hijack("")(w, r)
	}), upstrm.WithQuarantine(poison.New()), upstrm.WithCrashReporter(func(s *wire.Suspects) { reports <- s }))
	call := newCall(http.MethodGet, "r1", "")
	got, _, _ := outcome(x, call)
	c.Assert(got, qt.Equals, calls.Unknown)
	items := (<-reports).Items
	c.Assert(items, qt.HasLen, 1)
	c.Assert(items[0].Fingerprint, qt.Equals, poison.Fingerprint(call, nil))
	c.Assert(items[0].Alone, qt.IsTrue)
}

func TestIdempotencyKeyRunsOnce(t *testing.T) {
	c := qt.New(t)
	runs := 0
	v := newView()
	v.epoch = 1
	x, _ := newExecutor(t, v, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs++
		if r.URL.Path == "/rounds/lost" {
			hijack("")(w, r)
			return
		}
		_, _ = fmt.Fprintf(w, "run %d", runs)
	}), upstrm.WithJournal(journl.New()))
	send := func(key, idempotency, body string) (calls.Outcome, calls.Reason, *calls.Reply) {
		call := newCall(http.MethodPost, key, body)
		call.Idempotency = idempotency
		return outcome(x, call)
	}
	made, err := calls.NewIdempotencyKey(time.Now())
	c.Assert(err, qt.IsNil)
	for i := range 2 {
		_, _, reply := send("r1", made, "stop")
		body, err := io.ReadAll(reply.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "run 1")
		c.Assert(reply.Replayed, qt.Equals, i == 1)
	}
	_, reason, _ := send("r1", made, "other")
	c.Assert(reason, qt.Equals, calls.ReasonKeyReused)

	lost, err := calls.NewIdempotencyKey(time.Now())
	c.Assert(err, qt.IsNil)
	got, reason, _ := send("lost", lost, "stop")
	c.Assert(got, qt.Equals, calls.Unknown)
	c.Assert(reason, qt.Equals, calls.ReasonUpstreamLost)
	got, reason, _ = send("lost", lost, "stop")
	c.Assert(got, qt.Equals, calls.Unknown)
	c.Assert(reason, qt.Equals, calls.ReasonKeyLost)
	c.Assert(runs, qt.Equals, 2)
	c.Assert(x.Inflight(), qt.Equals, 0)
}
