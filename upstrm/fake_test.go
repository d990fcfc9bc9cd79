package upstrm_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

const service = ident.Service("rounds-desk")

var self = ident.NewIncarnation("a", 1)

// view is an ownership table in which one member owns all shards.
type view struct {
	mu    sync.Mutex
	owner ident.Incarnation
	epoch ident.Epoch
	lease time.Duration
}

func newView() *view { return &view{owner: self, epoch: 7, lease: time.Second} }

func (v *view) set(change func(*view)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *view) Self() ident.Incarnation { return self }

func (v *view) Lookup(name ident.Service, hash uint64) (table.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	shard := ident.NewShard(name, ident.SlotOfHash(hash, ident.DefaultSlots))
	return table.Target{Shard: shard, Epoch: v.epoch, Owner: v.owner}, true
}

func (v *view) Serves(ident.Shard, time.Time) (ident.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.owner == self && v.lease > 0
}

func (v *view) LeaseLeft(time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lease
}

func (v *view) Member(inc ident.Incarnation) (table.Member, bool) {
	return table.Member{Inc: inc}, true
}

func (v *view) Members(ident.Service) []table.Member {
	return []table.Member{{Inc: self}}
}

func shardOf(key string) ident.Shard {
	return ident.NewShard(service, ident.SlotOf(key, ident.DefaultSlots))
}

// newExecutor returns an executor whose upstream is an HTTP server with the
// given handler.
func newExecutor(t *testing.T, v *view, handler http.Handler, opts ...upstrm.Option) (*upstrm.Executor, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	x := upstrm.New(func() upstrm.View { return v }, append([]upstrm.Option{upstrm.WithHost("a")}, opts...)...)
	t.Cleanup(func() { _ = x.Close() })
	attach(t, x, server.URL, "one", true)
	return x, server
}

func attach(t *testing.T, x *upstrm.Executor, url, instance string, checks bool) {
	t.Helper()
	err := x.Attach(grant.Announcement{
		Service: service, Instance: instance, URL: url, Slots: 20, Conns: 100, ChecksTokens: checks,
	})
	qt.New(t).Assert(err, qt.IsNil)
}

// newCall returns a call of a key with a deadline in ten seconds.
func newCall(method, key, body string) *calls.Call {
	return &calls.Call{
		ID: "r1", Service: service, Key: key, Hash: ident.HashKey(key), Method: method,
		Path: "/rounds/" + key, Header: http.Header{}, Body: calls.NewBuffered([]byte(body)),
		Length: int64(len(body)), Deadline: time.Now().Add(10 * time.Second),
	}
}

// outcome runs a call and returns its outcome and reason.
func outcome(x calls.Executor, call *calls.Call) (calls.Outcome, calls.Reason, *calls.Reply) {
	reply, err := x.Run(context.Background(), call)
	if err != nil {
		e := calls.AsError(err)
		return e.Outcome(), e.Reason(), nil
	}
	return calls.Answered, "", reply
}
