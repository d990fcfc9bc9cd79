package upsim_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/upsim"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// desk answers announcements as a daemon does.
type desk struct {
	mu     sync.Mutex
	grants grant.Grants
	last   grant.Announcement
	// held, when set, keeps each answer back until it gives; taken is signalled
	// for each announcement that waits.
	held  chan struct{}
	taken chan struct{}
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	held := d.held
	_ = json.NewDecoder(r.Body).Decode(&d.last)
	d.mu.Unlock()
	if held != nil {
		select {
		case d.taken <- struct{}{}:
		default:
		}
		<-held
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(d.grants)
}

// hold makes the daemon answer only as often as the channel returned gives.
func (d *desk) hold() chan<- struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make(chan struct{})
	d.held = held
	return held
}

func (d *desk) set(g grant.Grants) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants = g
}

func (d *desk) announced() grant.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// rig is an upstream with its daemon and its history.
type rig struct {
	*upsim.Upstream
	c       *qt.C
	desk    *desk
	clock   *clockwork.FakeClock
	history *bytes.Buffer
}

func newRig(t *testing.T, cfg upsim.Config) *rig {
	c := qt.New(t)
	d := &desk{taken: make(chan struct{}, 1), grants: grant.Grants{
		Revision: 1, ValidMillis: 1000, Spans: []grant.Span{{First: 0, Last: 9, Epoch: 5}},
	}}
	web := httptest.NewServer(d)
	clock := clockwork.NewFakeClock()
	history := &bytes.Buffer{}
	cfg.Host, cfg.Service, cfg.Daemon = "dallas-1", "rounds-desk", web.URL
	up, err := upsim.Listen("127.0.0.1:0", cfg, upsim.WithClock(clock), upsim.WithHistory(history))
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		_ = up.Close()
		web.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	r := &rig{Upstream: up, c: c, desk: d, clock: clock, history: history}
	// The first grants have been taken and confirmed.
	r.until(func() bool { return d.announced().HeldRevision == 1 })
	return r
}

// until waits for what another goroutine brings about.
func (r *rig) until(ok func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.c.Fatal("condition not met")
		}
	}
}

// announceNow lets the next announcement come and waits for its grants.
func (r *rig) announceNow(revision uint64) {
	r.clock.Advance(upsim.AnnounceEvery)
	r.until(func() bool { return r.Granted().Revision == revision })
}

func (r *rig) do(method, path, body string, headers ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, r.URL()+path, strings.NewReader(body))
	r.c.Assert(err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.c.Assert(err, qt.IsNil)
	return resp, string(data)
}

func (r *rig) executions() []verify.Execution {
	var execs []verify.Execution
	for scan := bufio.NewScanner(bytes.NewReader(r.history.Bytes())); scan.Scan(); {
		var e verify.Execution
		r.c.Assert(json.Unmarshal(scan.Bytes(), &e), qt.IsNil)
		execs = append(execs, e)
	}
	return execs
}
