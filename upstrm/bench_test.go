package upstrm_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// maxAllocs limits the heap allocations of a request that is served by the
// upstream of the daemon's host. At 3,250 requests a second it means fewer than
// 200,000 allocations a second.
const maxAllocs = 60

var announced = grant.Announcement{
	Service: service, Instance: "one", URL: "http://upstream.invalid", Slots: 20, Conns: 100, ChecksTokens: true,
}

// memoryTransport is an in-process upstream that answers every request with an
// empty 200 response.
type memoryTransport struct{}

func (memoryTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// discardWriter is a response writer that discards the body.
type discardWriter struct{ header http.Header }

func (s *discardWriter) Header() http.Header         { return s.header }
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (s *discardWriter) WriteHeader(int)             {}

// newHandler returns a caller handler whose executor has gate, meter, journal
// and quarantine.
func newHandler(tb testing.TB) http.Handler {
	tb.Helper()
	v := newView()
	gate := admit.New()
	gate.Announce(20, false)
	x := upstrm.New(func() upstrm.View { return v }, upstrm.WithHost("a"), upstrm.WithGate(gate),
		upstrm.WithMeter(admit.NewMeter(clockwork.NewRealClock(), gate)), upstrm.WithJournal(journl.New()),
		upstrm.WithQuarantine(poison.New()), upstrm.WithRoundTripper(memoryTransport{}))
	tb.Cleanup(func() { _ = x.Close() })
	if err := x.Attach(announced); err != nil {
		tb.Fatal(err)
	}
	router := route.New(func() route.View { return v }, x, noPeer{})
	return caller.New(router, settings{}, caller.WithHost("a"))
}

func newRequest(i int) *http.Request {
	return httptest.NewRequest(http.MethodGet, fmt.Sprintf("/rounds-desk/rounds/r%d", i%512), nil)
}

func BenchmarkPath(b *testing.B) {
	handler := newHandler(b)
	w := &discardWriter{header: http.Header{}}
	requests := make([]*http.Request, 512)
	for i := range requests {
		requests[i] = newRequest(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		clear(w.header)
		handler.ServeHTTP(w, requests[i%512])
		i++
	}
}

func TestAllocationsOfAPath(t *testing.T) {
	c := qt.New(t)
	handler := newHandler(t)
	w := &discardWriter{header: http.Header{}}
	r := newRequest(1)
	got := testing.AllocsPerRun(500, func() {
		clear(w.header)
		handler.ServeHTTP(w, r)
	})
	c.Assert(w.header.Get("Moor-Outcome"), qt.Equals, "answered")
	c.Assert(got <= maxAllocs, qt.IsTrue, qt.Commentf("%.0f allocations a request", got))
}

func BenchmarkExecutor(b *testing.B) {
	v := newView()
	x := upstrm.New(func() upstrm.View { return v }, upstrm.WithRoundTripper(memoryTransport{}))
	defer x.Close()
	if err := x.Attach(announced); err != nil {
		b.Fatal(err)
	}
	call := newCall(http.MethodGet, "r1", "")
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		reply, err := x.Run(ctx, call)
		if err != nil {
			b.Fatal(err)
		}
		_ = reply.Body.Close()
	}
}
