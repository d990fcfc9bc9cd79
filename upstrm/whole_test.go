package upstrm_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// settings knows one service, whose key is the path segment that PathRule(1)
// selects.
func (settings) Ready() bool { return true }

type settings struct{}

func (settings) Service(name ident.Service) (caller.Service, bool) {
	return settings{}, name == service
}
func (settings) Divided() bool                 { return true }
func (settings) KeyRule() caller.Rule          { return caller.PathRule(1) }
func (settings) MaxBody() int64                { return 0 }
func (settings) DefaultTimeout() time.Duration { return 0 }
func (settings) RequiresIdempotencyKey() bool  { return false }

// noPeer fails every forwarded call with reason peer-down.
type noPeer struct{}

func (noPeer) Forward(context.Context, table.Member, *calls.Call) (*calls.Reply, error) {
	return nil, calls.NewNotRun(calls.ReasonPeerDown)
}

func TestWholePath(t *testing.T) {
	c := qt.New(t)
	v := newView()
	x, _ := newExecutor(t, v, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Moor-Epoch", "forged by the upstream")
		_, _ = fmt.Fprintf(w, "%s %s epoch=%s slot=%s body=%s", r.Method, r.URL, r.Header.Get("Moor-Epoch"),
			r.Header.Get("Moor-Slot"), body)
	}))
	router := route.New(func() route.View { return v }, x, noPeer{})
	front := httptest.NewServer(caller.New(router, settings{}, caller.WithHost("a")))
	defer front.Close()

	request, err := http.NewRequest(http.MethodPost, front.URL+"/rounds-desk/rounds/r%2F17/stop?x=1", strings.NewReader("hold"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Moor-Epoch", "99")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, fmt.Sprintf("POST /rounds/r%%2F17/stop?x=1 epoch=7 slot=%d body=hold", shardOf("r/17").Slot))
	c.Assert(response.Header.Get("Moor-Outcome"), qt.Equals, "answered")
	c.Assert(response.Header.Get("Moor-Owner"), qt.Equals, "a")
	c.Assert(response.Header.Get("Moor-Epoch"), qt.Equals, "")
	c.Assert(response.Header.Get("Moor-Request"), qt.Not(qt.Equals), "")
}

var _ upstrm.View = (*view)(nil)
