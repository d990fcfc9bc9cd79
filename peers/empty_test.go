package peers_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// TestEmptyAnswer forwards calls whose answers have no body. Forward must return such an
// answer only after it has read the end marker: a truncated one has an unknown outcome.
func TestEmptyAnswer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t)
	server := newHandler()
	var cut atomic.Bool
	server.run = func(context.Context, *calls.Call) (*calls.Reply, error) {
		r := &calls.Reply{Status: http.StatusNoContent, Header: http.Header{}, Body: http.NoBody}
		if cut.Load() {
			r.Body = io.NopCloser(failingReader{data: http.NoBody})
		}
		return r, nil
	}
	_, to := f.join("b", server)
	a, _ := f.join("a", newHandler())

	r, err := a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusNoContent)
	c.Assert(readAll(c, r), qt.Equals, "")

	cut.Store(true)
	_, err = a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(calls.AsError(err).Outcome(), qt.Equals, calls.Unknown)
}
