package upsim_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/upsim"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFencing(t *testing.T) {
	tests := []struct {
		name    string
		checks  bool
		headers []string
		advance time.Duration
		status  int
	}{
		{name: "granted", checks: true, headers: []string{"Moor-Slot", "3", "Moor-Epoch", "5"}, status: 200},
		{name: "lower epoch", checks: true, headers: []string{"Moor-Slot", "3", "Moor-Epoch", "4"}, status: 409},
		{name: "higher epoch", checks: true, headers: []string{"Moor-Slot", "3", "Moor-Epoch", "6"}, status: 409},
		{name: "other slot", checks: true, headers: []string{"Moor-Slot", "10", "Moor-Epoch", "5"}, status: 409},
		{name: "no token", checks: true, status: 409},
		{name: "bad token", checks: true, headers: []string{"Moor-Slot", "x", "Moor-Epoch", "5"}, status: 400},
		{name: "expired", checks: true, headers: []string{"Moor-Slot", "3", "Moor-Epoch", "5"}, advance: time.Second, status: 409},
		{name: "unchecked lower epoch", headers: []string{"Moor-Slot", "3", "Moor-Epoch", "4"}, status: 200},
		{name: "unchecked without token", status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, upsim.Config{Checks: tt.checks})
			if tt.advance > 0 {
				r.desk.set(grant.Grants{Revision: 1, Unchanged: true})
				r.clock.Advance(tt.advance)
				r.until(func() bool { return r.Granted().Left == 0 })
			}
			resp, _ := r.do("POST", "/keys/round-1", "v", tt.headers...)
			r.c.Assert(resp.StatusCode, qt.Equals, tt.status)
			ran := tt.status == 200
			r.c.Assert(resp.Header.Get("Moor-Ran") == "no", qt.Equals, !ran)
			r.c.Assert(len(r.executions()) == 1, qt.Equals, ran)
			r.c.Assert(r.Counter("round-1") == 1, qt.Equals, ran)
		})
	}
}

// A request that started under a grant has no effect once a higher epoch was
// granted or the grant ran out.
func TestFencingAtEffect(t *testing.T) {
	tests := []struct {
		name string
		next grant.Grants
	}{
		{name: "higher epoch", next: grant.Grants{Revision: 2, ValidMillis: 60000, Spans: []grant.Span{{First: 0, Last: 9, Epoch: 6}}}},
		{name: "withdrawn", next: grant.Grants{Revision: 2}},
		{name: "moved away", next: grant.Grants{Revision: 2, ValidMillis: 60000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, upsim.Config{Checks: true})
			done := make(chan int)
			go func() {
				resp, _ := r.do("POST", "/keys/k?time=10s", "v", "Moor-Slot", "3", "Moor-Epoch", "5")
				done <- resp.StatusCode
			}()
			r.c.Assert(r.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
			r.desk.set(tt.next)
			r.announceNow(2)
			r.clock.Advance(10 * time.Second)
			r.c.Assert(<-done, qt.Equals, http.StatusConflict)
			r.c.Assert(r.executions(), qt.HasLen, 0)
		})
	}
}

// A daemon whose table lags cannot bring back an epoch that was overtaken.
func TestGrantsStepBack(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	r.desk.set(grant.Grants{Revision: 2, ValidMillis: 60000, Spans: []grant.Span{{First: 3, Last: 3, Epoch: 6}}})
	r.announceNow(2)
	r.desk.set(grant.Grants{Revision: 3, ValidMillis: 60000, Spans: []grant.Span{{First: 3, Last: 3, Epoch: 5}}})
	r.announceNow(3)
	resp, _ := r.do("POST", "/keys/k", "v", "Moor-Slot", "3", "Moor-Epoch", "5")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusConflict)
	r.c.Assert(resp.Header.Get("Moor-Ran"), qt.Equals, "no")
}

// A grant counts from when the announcement was sent, however late the answer
// comes.
func TestGrantCountsFromTheAnnouncement(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	answer := r.desk.hold()
	defer close(answer)
	r.clock.Advance(upsim.AnnounceEvery)
	<-r.desk.taken
	r.desk.set(grant.Grants{Revision: 2, ValidMillis: 1000, Spans: []grant.Span{{First: 0, Last: 9, Epoch: 5}}})
	r.clock.Advance(700 * time.Millisecond)
	answer <- struct{}{}
	// The next announcement waits for its answer, so this grant still counts.
	<-r.desk.taken
	r.c.Assert(r.Granted().Revision, qt.Equals, uint64(2))
	r.c.Assert(r.Granted().Left, qt.Equals, 300*time.Millisecond)
}

func TestNewerTokenAsksForGrants(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	r.desk.set(grant.Grants{Revision: 2, ValidMillis: 1000, Spans: []grant.Span{{First: 3, Last: 3, Epoch: 6}}})
	resp, _ := r.do("GET", "/keys/k", "", "Moor-Slot", "3", "Moor-Epoch", "6")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusConflict)
	r.until(func() bool { return r.Granted().Revision == 2 })
	resp, _ = r.do("GET", "/keys/k", "", "Moor-Slot", "3", "Moor-Epoch", "6")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func TestAnswersAndHistory(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	token := []string{"Moor-Slot", "3", "Moor-Epoch", "5", "Moor-Request", "r1", "Idempotency-Key", "i1"}
	_, body := r.do("POST", "/rounds-desk/keys/round%2F7", "first", token...)
	var ans upsim.Answer
	r.c.Assert(json.Unmarshal([]byte(body), &ans), qt.IsNil)
	r.c.Assert(ans, qt.Equals, upsim.Answer{Host: "dallas-1", Key: "round/7", Counter: 1, Epoch: 5, Request: "r1", Value: "first"})

	resp, body := r.do("GET", "/keys/other", "", "Moor-Key", "round/7", "Moor-Slot", "3", "Moor-Epoch", "5")
	r.c.Assert(json.Unmarshal([]byte(body), &ans), qt.IsNil)
	r.c.Assert(ans.Value, qt.Equals, "first")
	r.c.Assert(resp.Header.Get(upsim.HeaderCounter), qt.Equals, "1")
	r.c.Assert(resp.Header.Get(upsim.HeaderHost), qt.Equals, "dallas-1")

	got := r.executions()
	r.c.Assert(got, qt.HasLen, 2)
	r.c.Assert(got[0], qt.Equals, verify.Execution{
		Wall: r.clock.Now().UnixNano(), Mono: 0, Host: "dallas-1", Instance: r.Instance(), Service: "rounds-desk",
		Key: "round/7", Slot: 3, Epoch: 5, Request: "r1", Idempotency: "i1", Method: "POST", Counter: 1,
	})
}

func TestSlots(t *testing.T) {
	r := newRig(t, upsim.Config{Slots: 1})
	done := make(chan int)
	go func() {
		resp, _ := r.do("GET", "/keys/k?time=1s", "")
		done <- resp.StatusCode
	}()
	r.c.Assert(r.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
	resp, _ := r.do("GET", "/keys/k", "")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusTooManyRequests)
	r.c.Assert(resp.Header.Get("Moor-Ran"), qt.Equals, "no")
	resp, _ = r.do("GET", "/health", "")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	r.Set(upsim.Behaviour{HealthLies: true})
	resp, _ = r.do("GET", "/health", "")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	r.clock.Advance(time.Second)
	r.c.Assert(<-done, qt.Equals, http.StatusOK)
}

func TestConnections(t *testing.T) {
	r := newRig(t, upsim.Config{Conns: 1})
	addr := strings.TrimPrefix(r.URL(), "http://")
	held, err := net.Dial("tcp", addr)
	r.c.Assert(err, qt.IsNil)
	over, err := net.Dial("tcp", addr)
	r.c.Assert(err, qt.IsNil)
	defer over.Close()
	_, err = over.Read(make([]byte, 1))
	r.c.Assert(err, qt.IsNotNil)
	r.c.Assert(held.Close(), qt.IsNil)
	r.until(func() bool {
		resp, _ := r.do("GET", "/health", "")
		return resp != nil && resp.StatusCode == http.StatusOK
	})
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name, effect string
		executed     int
		ran          string
	}{
		{name: "before the effect", executed: 0, ran: "no"},
		{name: "after the effect", effect: "&effect=first", executed: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, upsim.Config{})
			done := make(chan *http.Response)
			go func() {
				resp, _ := r.do("POST", "/keys/k?time=10s"+tt.effect, "v", "Moor-Deadline", "50")
				done <- resp
			}()
			r.c.Assert(r.clock.BlockUntilContext(context.Background(), 3), qt.IsNil)
			r.clock.Advance(50 * time.Millisecond)
			resp := <-done
			r.c.Assert(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout)
			r.c.Assert(resp.Header.Get("Moor-Ran"), qt.Equals, tt.ran)
			r.c.Assert(r.executions(), qt.HasLen, tt.executed)
		})
	}
}

func TestCancelBeforeEffect(t *testing.T) {
	r := newRig(t, upsim.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL()+"/keys/k?time=10s", strings.NewReader("v"))
	r.c.Assert(err, qt.IsNil)
	go func() {
		_ = r.clock.BlockUntilContext(ctx, 2)
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	r.c.Assert(err, qt.ErrorIs, context.Canceled)
	r.until(func() bool { return r.busy() == 0 })
	r.clock.Advance(10 * time.Second)
	r.c.Assert(r.executions(), qt.HasLen, 0)
}

func (r *rig) busy() int64 {
	_, body := r.do("GET", "/load", "")
	var h upsim.Health
	r.c.Assert(json.Unmarshal([]byte(body), &h), qt.IsNil)
	return h.Busy
}

func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	done := make(chan int)
	go func() {
		resp, _ := r.do("POST", "/keys/k?time=200ms", "v", "Moor-Slot", "3", "Moor-Epoch", "5")
		done <- resp.StatusCode
	}()
	r.c.Assert(r.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
	drained := make(chan error)
	go func() { drained <- r.Drain(context.Background()) }()
	r.until(func() bool { return r.desk.announced().Leaving })
	r.desk.set(grant.Grants{Revision: 1, ValidMillis: 60000, Unchanged: true, Drained: true})
	r.clock.Advance(upsim.AnnounceEvery)
	r.c.Assert(<-done, qt.Equals, http.StatusOK)
	r.c.Assert(<-drained, qt.IsNil)
	r.c.Assert(r.executions(), qt.HasLen, 1)
}

func TestPoisonCrashes(t *testing.T) {
	r := newRig(t, upsim.Config{})
	done := make(chan *http.Response)
	go func() {
		resp, _ := r.do("POST", "/keys/k?time=1s", "v")
		done <- resp
	}()
	r.c.Assert(r.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
	resp, _ := r.do("POST", "/keys/k", "v", upsim.HeaderPoison, "yes", "Moor-Request", "bad")
	r.c.Assert(resp, qt.IsNil)
	r.c.Assert(<-done, qt.IsNil)
	<-r.Ended()
	got := r.executions()
	r.c.Assert(got, qt.HasLen, 1)
	r.c.Assert(got[0].Crash, qt.IsTrue)
	r.c.Assert(got[0].Request, qt.Equals, "bad")
}

func TestPhotos(t *testing.T) {
	const size = 1<<20 + 17
	r := newRig(t, upsim.Config{})
	resp, down := r.do("GET", "/media/photo?bytes=1048593", "", "Moor-Key", "m1")
	r.c.Assert(len(down), qt.Equals, size)
	_, body := r.do("POST", "/photo", down, "Moor-Key", "m1")
	var ans upsim.Answer
	r.c.Assert(json.Unmarshal([]byte(body), &ans), qt.IsNil)
	r.c.Assert(ans.Bytes, qt.Equals, int64(size))
	r.c.Assert(ans.Sum, qt.Equals, resp.Header.Get(upsim.HeaderSum))
	_, again := r.do("GET", "/media/keys/m1/photo?bytes=1048593", "")
	r.c.Assert(again == down, qt.IsTrue)
	for _, bad := range []string{"/photo?bytes=-1", "/photo?bytes=x", "/photo?bytes=99999999999"} {
		resp, _ := r.do("GET", bad, "")
		r.c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
	}
	_, echo := r.do("POST", "/echo", "hello")
	r.c.Assert(echo, qt.Equals, "hello")
}

func TestCutUploadHasNoEffect(t *testing.T) {
	r := newRig(t, upsim.Config{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.URL(), "http://"))
	r.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	r.c.Assert(err, qt.IsNil)
	r.until(func() bool { return r.busy() == 1 })
	r.c.Assert(conn.Close(), qt.IsNil)
	r.until(func() bool { return r.busy() == 0 })
	r.c.Assert(r.executions(), qt.HasLen, 0)
}

func TestControl(t *testing.T) {
	r := newRig(t, upsim.Config{})
	post := func(query string) int {
		rec := httptest.NewRecorder()
		r.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/control?"+query, nil))
		return rec.Code
	}
	r.c.Assert(post("shed=1&service=5ms"), qt.Equals, http.StatusOK)
	r.c.Assert(r.Behaviour(), qt.Equals, upsim.Behaviour{Shed: 1, Service: 5 * time.Millisecond})
	resp, _ := r.do("GET", "/keys/k", "")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusTooManyRequests)
	r.c.Assert(post("colour=red"), qt.Equals, http.StatusBadRequest)
	resp, _ = r.do("POST", "/control?shed=0", "")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusNotFound)
}

func TestColdStart(t *testing.T) {
	r := newRig(t, upsim.Config{Behaviour: upsim.Behaviour{
		Service: time.Second, ColdFor: 10 * time.Second, ColdFactor: 3,
	}})
	r.c.Assert(r.desk.announced().Cold, qt.IsTrue)
	done := make(chan struct{})
	go func() {
		r.do("GET", "/keys/k", "")
		close(done)
	}()
	r.c.Assert(r.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
	r.clock.Advance(2 * time.Second)
	r.c.Assert(r.busy(), qt.Equals, int64(1))
	r.clock.Advance(time.Second)
	<-done
}

func TestTwoPoisonsCrashOnce(t *testing.T) {
	crashes := make(chan struct{}, 2)
	up, err := upsim.Listen("127.0.0.1:0", upsim.Config{}, upsim.WithCrash(func() { crashes <- struct{}{} }))
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	defer up.Close()
	for range 2 {
		_, err := http.Get(up.URL() + "/keys/k?poison=1")
		c.Assert(err, qt.IsNotNil)
	}
	c.Assert(crashes, qt.HasLen, 1)
}
