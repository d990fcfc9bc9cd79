package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// daemon is a Source and a Control in memory.
type daemon struct {
	recorder *events.Recorder
	ready    error
	refuse   error
	cut      bool
	orders   []string
}

func (d *daemon) Status() admin.Status {
	return admin.Status{
		Self: ident.NewIncarnation("a", 1), Place: "dallas", Region: "texas",
		Lease:     admin.Duration(1500 * time.Millisecond),
		Witnesses: []ident.Incarnation{ident.NewIncarnation("b", 2)},
		Upstream:  admin.Upstream{Up: true, Slots: 20, Cold: true},
		Settings:  admin.Settings{Revisions: map[string]uint64{"lone-star": 4}},
		Members:   []admin.Member{{Inc: ident.NewIncarnation("b", 2), Place: "houston", Age: -1}},
		Services: []admin.Service{{Name: "rounds-desk", Slots: 4096, Unowned: 1, Owners: []admin.Owner{{
			Inc: ident.NewIncarnation("a", 1), Count: 12, Ranges: []admin.Range{{First: 0, Last: 9}, {First: 12, Last: 12}},
		}}}},
	}
}

func (d *daemon) Events(n uint64, f *events.Filter) events.Batch { return d.recorder.Since(n, f) }

func (d *daemon) SlotsOf(service ident.Service, key string) ([]ident.Slot, bool) {
	return []ident.Slot{ident.SlotOf(key, 4)}, service == "rounds-desk"
}

func (d *daemon) Quarantine() []admin.Quarantine {
	return []admin.Quarantine{{Service: "events", Fingerprint: "ff", Crashes: 2, Refused: true, Left: admin.Duration(time.Minute)}}
}

func (d *daemon) Settings() (json.RawMessage, error) { return json.RawMessage(`{"x":1}`), nil }

func (d *daemon) WriteTable(w io.Writer) error {
	_, _ = io.WriteString(w, "snapshot")
	if d.cut {
		return errors.New("cut")
	}
	return nil
}

func (d *daemon) WriteMetrics(w io.Writer) error {
	_, err := io.WriteString(w, "x 1\n")
	return err
}

func (d *daemon) Ready() error { return d.ready }

func (d *daemon) Drain(context.Context) error { return d.order("drain") }

func (d *daemon) Evict(_ context.Context, of ident.Incarnation, operator string) error {
	return d.order("evict " + of.String() + " by " + operator)
}

func (d *daemon) Lift(_ context.Context, service ident.Service, fingerprint string) error {
	return d.order("lift " + string(service) + " " + fingerprint)
}

func (d *daemon) order(name string) error {
	d.orders = append(d.orders, name)
	return d.refuse
}

func serve(t *testing.T, host ident.Host, opts ...admin.Option) (*qt.C, *daemon, string) {
	c := qt.New(t)
	clock := events.NewClock(clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)))
	d := &daemon{recorder: events.NewRecorder(host, clock)}
	s := httptest.NewServer(admin.New(d, d, opts...))
	c.Cleanup(s.Close)
	return c, d, s.URL
}

func TestClientReads(t *testing.T) {
	c, d, url := serve(t, "a")
	ctx, client := context.Background(), admin.NewClient()
	status, err := client.Status(ctx, url)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.DeepEquals, d.Status())
	list, err := client.Quarantine(ctx, url)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.DeepEquals, d.Quarantine())
	settings, err := client.Settings(ctx, url+"/")
	c.Assert(err, qt.IsNil)
	c.Assert(string(settings), qt.Equals, `{"x":1}`)
	table, err := client.Table(ctx, url)
	c.Assert(err, qt.IsNil)
	c.Assert(string(table), qt.Equals, "snapshot")
	metrics, err := client.Metrics(ctx, url)
	c.Assert(err, qt.IsNil)
	c.Assert(string(metrics), qt.Equals, "x 1\n")
}

func TestStatusOwner(t *testing.T) {
	c := qt.New(t)
	inc := ident.NewIncarnation("b", 7)
	status := admin.Status{Services: []admin.Service{{Name: "rounds-desk", Owners: []admin.Owner{
		{Inc: inc, Ranges: []admin.Range{{First: 3, Last: 5}, {First: 9, Last: 9}}},
	}}}}
	for _, slot := range []ident.Slot{3, 5, 9} {
		owner, known := status.Owner(ident.NewShard("rounds-desk", slot))
		c.Check(known, qt.IsTrue)
		c.Check(owner, qt.Equals, inc)
	}
	owner, known := status.Owner(ident.NewShard("rounds-desk", 6))
	c.Check(known, qt.IsTrue)
	c.Check(owner.IsZero(), qt.IsTrue)
	_, known = status.Owner(ident.NewShard("payments", 3))
	c.Check(known, qt.IsFalse)
}

func TestCutTableIsAnError(t *testing.T) {
	c, d, url := serve(t, "a")
	d.cut = true
	_, err := admin.NewClient().Table(context.Background(), url)
	c.Assert(err, qt.IsNotNil)
}

func TestTimelineMergesAndNamesTheMissing(t *testing.T) {
	c, a, urlA := serve(t, "a")
	_, b, urlB := serve(t, "b")
	slot := ident.SlotOf("k", 4)
	a.recorder.Emit(events.Event{Kind: events.KindClaim, Service: "rounds-desk", First: slot, Last: slot})
	a.recorder.Emit(events.Event{Kind: events.KindClaim, Service: "rounds-desk", First: slot + 1, Last: slot + 1})
	b.recorder.Emit(events.Event{Kind: events.KindTakeover, Service: "rounds-desk", First: 0, Last: 3})
	dead := "http://127.0.0.1:1"
	f := events.NewFilter(events.WithService("rounds-desk"), events.WithKey("k"))
	line, err := admin.NewClient().Timeline(context.Background(), []string{urlA, dead, urlB}, f)
	c.Assert(err, qt.IsNil)
	c.Assert(line.Events, qt.HasLen, 2)
	c.Assert(line.Events[0].Host, qt.Equals, ident.Host("a"))
	c.Assert(line.Events[1].Kind, qt.Equals, events.KindTakeover)
	c.Assert(line.Missing, qt.HasLen, 1)
	c.Assert(line.Missing[0].URL, qt.Equals, dead)

	_, err = admin.NewClient().Timeline(context.Background(), []string{dead}, nil)
	c.Assert(err, qt.ErrorMatches, "time line: no daemon answered.*")
	_, err = admin.NewClient().Events(context.Background(), urlA, 0, events.NewFilter(events.WithService("x"), events.WithKey("k")))
	c.Assert(err, qt.ErrorIs, admin.ErrNotFound)
}

func TestOrders(t *testing.T) {
	c, d, url := serve(t, "a", admin.WithToken("s3cret"))
	ctx, member := context.Background(), ident.NewIncarnation("b", 31)
	orders := func(client *admin.Client) []error {
		return []error{
			client.Drain(ctx, url),
			client.Evict(ctx, url, member, "ann"),
			client.Lift(ctx, url, "events", "ff"),
		}
	}
	for _, token := range []string{"", "wrong"} {
		for _, err := range orders(admin.NewClient(admin.WithBearer(token))) {
			c.Assert(err, qt.ErrorMatches, ".*needs the operators' token")
		}
	}
	c.Assert(d.orders, qt.HasLen, 0)
	for _, err := range orders(admin.NewClient(admin.WithBearer("s3cret"))) {
		c.Assert(err, qt.IsNil)
	}
	c.Assert(d.orders, qt.DeepEquals, []string{"drain", "evict b~1f by ann", "lift events ff"})
	for _, refusal := range []error{admin.ErrNotFound, admin.ErrRefused} {
		d.refuse = refusal
		for _, err := range orders(admin.NewClient(admin.WithBearer("s3cret"))) {
			c.Assert(err, qt.ErrorIs, refusal)
		}
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	c, d, url := serve(t, "a")
	d.ready = errors.New("no table yet")
	for _, test := range []struct {
		name, method, path, body string
		want                     int
	}{
		{"healthy", http.MethodGet, "/healthz", "", http.StatusOK},
		{"not ready", http.MethodGet, "/readyz", "", http.StatusServiceUnavailable},
		{"no such path", http.MethodGet, "/secrets", "", http.StatusNotFound},
		{"order by GET", http.MethodGet, "/drain", "", http.StatusMethodNotAllowed},
		{"bad slot", http.MethodGet, "/timeline?service=a&slot=x", "", http.StatusBadRequest},
		{"slot of no service", http.MethodGet, "/timeline?slot=1", "", http.StatusBadRequest},
		{"bad number", http.MethodGet, "/timeline?number=-1", "", http.StatusBadRequest},
		{"long query", http.MethodGet, "/timeline?key=" + strings.Repeat("x", 10_000), "", http.StatusRequestURITooLong},
		{"eviction without operator", http.MethodPost, "/evict", `{"member":"b~1"}`, http.StatusBadRequest},
		{"eviction of no one", http.MethodPost, "/evict", `{"member":"-","operator":"ann"}`, http.StatusBadRequest},
		{"eviction with other fields", http.MethodPost, "/evict", `{"member":"b~1","operator":"ann","force":true}`, http.StatusBadRequest},
		{"large body", http.MethodPost, "/evict", `{"operator":"` + strings.Repeat("x", 1<<20) + `"}`, http.StatusBadRequest},
		{"lift of nothing", http.MethodDelete, "/quarantine?service=a", "", http.StatusBadRequest},
	} {
		r, err := http.NewRequest(test.method, url+test.path, strings.NewReader(test.body))
		c.Assert(err, qt.IsNil)
		answer, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		_ = answer.Body.Close()
		c.Assert(answer.StatusCode, qt.Equals, test.want, qt.Commentf(test.name))
	}
	c.Assert(d.orders, qt.HasLen, 0)
}

func TestWriteStatus(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	c.Assert(admin.WriteStatus(&b, (&daemon{}).Status()), qt.IsNil)
	for _, want := range []string{
		"lease        1.5s left, witnesses b~2\n",
		"upstream     up, 20 slots, cold\n",
		"settings     lone-star=4\n",
		"rounds-desk  a~1    12     0-9 12\n",
		"b~2     houston           never  \n",
	} {
		c.Assert(b.String(), qt.Contains, want)
	}
}
