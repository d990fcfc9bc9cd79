package grant_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const service = ident.Service("events")

// fakeView is a grant.View with a settable end of the lease and settable slots.
type fakeView struct {
	mu    sync.Mutex
	ends  time.Time
	slots []ident.Slot
	epoch ident.Epoch
}

func (v *fakeView) LeaseLeft(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ends.Sub(now)
}

func (v *fakeView) Served() []core.ServedShard {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []core.ServedShard
	for _, slot := range v.slots {
		all = append(all, core.ServedShard{Shard: ident.NewShard(service, slot), Epoch: v.epoch})
	}
	return all
}

// recordingListener is a grant.Listener that records all notifications.
type recordingListener struct {
	mu     sync.Mutex
	events []string
}

func (j *recordingListener) add(event string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event)
}

func (j *recordingListener) all() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Join(j.events, " ")
}

func (j *recordingListener) UpstreamUp(a grant.Announcement) { j.add("up:" + a.Instance) }
func (j *recordingListener) UpstreamDown(instance string)    { j.add("down:" + instance) }
func (j *recordingListener) UpstreamChanged(before, now string) {
	j.add("changed:" + before + ":" + now)
}
func (j *recordingListener) UpstreamLeaving(instance string) { j.add("leaving:" + instance) }

// announcement returns a valid announcement of an instance.
func announcement(instance string) grant.Announcement {
	return grant.Announcement{Service: service, Instance: instance, URL: "http://127.0.0.1:9", Slots: 20, Conns: 100, ChecksTokens: true}
}

// fakeWork is a grant.PendingWork with a settable time until which requests are outstanding.
type fakeWork struct {
	mu    sync.Mutex
	until time.Time
}

func (w *fakeWork) Until() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.until
}

// fixture is an Issuer with a fake clock and fakes of its dependencies.
type fixture struct {
	clock    *clockwork.FakeClock
	view     *fakeView
	listener *recordingListener
	work     *fakeWork
	desk     *grant.Issuer
}

func newFixture(t *testing.T, opts ...grant.Option) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	r := &fixture{
		clock:    clock,
		view:     &fakeView{ends: clock.Now().Add(time.Hour), slots: []ident.Slot{4, 5, 6, 9}, epoch: 2},
		listener: &recordingListener{},
		work:     &fakeWork{},
	}
	opts = append([]grant.Option{grant.WithClock(clock), grant.WithListener(r.listener), grant.WithPendingWork(r.work),
		grant.WithService(service)}, opts...)
	r.desk = grant.New(func() grant.View { return r.view }, opts...)
	t.Cleanup(func() { _ = r.desk.Close() })
	return r
}

// TestGrants checks the granted spans and their validity, and that a slot that is no longer granted counts as settled
// only after the upstream has confirmed the new revision.
func TestGrants(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	a := announcement("one")
	first := r.desk.Announce(a)
	c.Assert(first.Spans, qt.DeepEquals, []grant.Span{{First: 4, Last: 6, Epoch: 2}, {First: 9, Last: 9, Epoch: 2}})
	c.Assert(first.ValidMillis, qt.Equals, int64(990))
	a.HeldRevision = first.Revision
	again := r.desk.Announce(a)
	c.Assert(again.Unchanged, qt.IsTrue)
	c.Assert(again.Spans, qt.HasLen, 0)

	shards := []ident.Shard{ident.NewShard(service, 9)}
	r.view.mu.Lock()
	r.view.slots = []ident.Slot{4, 5, 6}
	r.view.mu.Unlock()
	c.Assert(r.desk.Released(shards), qt.IsFalse)
	changed := r.desk.Announce(a)
	c.Assert(changed.Revision, qt.Equals, first.Revision+1)
	c.Assert(r.desk.Released(shards), qt.IsFalse)
	a.HeldRevision = changed.Revision
	r.desk.Announce(a)
	c.Assert(r.desk.Released(shards), qt.IsTrue)

	r.view.mu.Lock()
	r.view.ends = r.clock.Now().Add(300 * time.Millisecond)
	r.view.mu.Unlock()
	c.Assert(r.desk.Announce(a).ValidMillis, qt.Equals, int64(297))
	r.clock.Advance(300 * time.Millisecond)
	c.Assert(r.desk.Announce(a).ValidMillis, qt.Equals, int64(0))
}

// TestDownOnlyAfterGrantsHaveExpired checks that a silent upstream is reported as lost only when the silence timeout,
// its grants and its outstanding requests have all ended.
func TestDownOnlyAfterGrantsHaveExpired(t *testing.T) {
	tests := []struct {
		name  string
		time  time.Duration
		work  time.Duration
		after time.Duration
	}{
		{name: "silence decides", time: 500 * time.Millisecond, after: time.Second},
		{name: "grant decides", time: 3 * time.Second, after: 3 * time.Second},
		{name: "work at an upstream without checks decides", time: time.Second, work: 5 * time.Second, after: 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newFixture(t, grant.WithMaxValidity(tt.time))
			r.work.until = r.clock.Now().Add(tt.work)
			start := r.clock.Now()
			r.desk.Announce(announcement("one"))
			for !strings.Contains(r.listener.all(), "down:one") {
				c.Assert(r.clock.Now().Sub(start) < 10*time.Second, qt.IsTrue)
				r.clock.Advance(10 * time.Millisecond)
				r.desk.CheckUpstream()
			}
			silent := r.clock.Now().Sub(start)
			c.Assert(silent >= tt.after && silent <= tt.after+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", silent))
			c.Assert(r.desk.Expires().After(r.clock.Now()), qt.IsFalse)
		})
	}
}

// TestNewInstanceWaitsForTheOldGrants checks that a new instance is granted nothing until the grants of the previous
// instance have expired.
func TestNewInstanceWaitsForTheOldGrants(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	r.desk.Announce(announcement("one"))
	start := r.clock.Now()
	for {
		g := r.desk.Announce(announcement("two"))
		if g.ValidMillis > 0 {
			break
		}
		r.clock.Advance(100 * time.Millisecond)
	}
	c.Assert(r.clock.Now().Sub(start) >= time.Second, qt.IsTrue)
	c.Assert(r.listener.all(), qt.Equals, "up:one changed:one:two down:one up:two")
	c.Assert(r.desk.Announce(announcement("one")).ValidMillis, qt.Equals, int64(0))
}

// TestLeaving checks that a leaving upstream counts as drained only when it owns no shard and no request is
// outstanding.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	r := newFixture(t)
	a := announcement("one")
	a.Leaving = true
	c.Assert(r.desk.Announce(a).Drained, qt.IsFalse)
	r.view.mu.Lock()
	r.view.slots = nil
	r.view.mu.Unlock()
	r.work.until = r.clock.Now().Add(time.Second)
	c.Assert(r.desk.Announce(a).Drained, qt.IsFalse)
	r.clock.Advance(500 * time.Millisecond)
	c.Assert(r.desk.Announce(a).Drained, qt.IsFalse)
	r.clock.Advance(500 * time.Millisecond)
	c.Assert(r.desk.Announce(a).Drained, qt.IsTrue)
	c.Assert(strings.Count(r.listener.all(), "leaving:one"), qt.Equals, 1)
}

func TestAnnouncePath(t *testing.T) {
	good, err := json.Marshal(announcement("one"))
	qt.New(t).Assert(err, qt.IsNil)
	tests := []struct {
		name, method, body string
		status             int
	}{
		{name: "good", method: "POST", body: string(good), status: 200},
		{name: "wrong method", method: "GET", status: 405},
		{name: "not JSON", method: "POST", body: "{", status: 400},
		{name: "no instance", method: "POST", body: `{"service":"events","url":"http://127.0.0.1:9","slots":1}`, status: 400},
		{name: "other service", method: "POST", body: strings.Replace(string(good), "events", "media", 1), status: 400},
		{name: "relative URL", method: "POST", body: strings.Replace(string(good), "http://127.0.0.1:9", "/x", 1), status: 400},
		{name: "no slots", method: "POST", body: strings.Replace(string(good), `"slots":20`, `"slots":0`, 1), status: 400},
		{name: "too large", method: "POST", body: strings.Repeat(" ", 32<<10), status: 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			w := httptest.NewRecorder()
			r.desk.ServeHTTP(w, httptest.NewRequest(tt.method, grant.AnnouncePath, strings.NewReader(tt.body)))
			qt.New(t).Assert(w.Code, qt.Equals, tt.status)
		})
	}
}

var _ http.Handler = (*grant.Issuer)(nil)
