package mesh_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/mesh"
	"github.com/monsoonmoor/monsoonmoor/owner"
	"github.com/monsoonmoor/monsoonmoor/store"
	"github.com/monsoonmoor/monsoonmoor/upconn"
	"github.com/monsoonmoor/monsoonmoor/vhost"
)

const (
	ordered = ident.Service("events")
	plain   = ident.Service("media")
)

// dialect is a minimal protocol between node and upstream.
type dialect struct{}

func (dialect) Request(call *calls.Call, _ time.Duration, _ string) *http.Request {
	return &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.Path}, Host: "up",
		Header: http.Header{"X-Id": {call.ID}, "X-Key": {strconv.Itoa(int(call.Point))}},
	}
}

func (dialect) Classify(call *calls.Call, _ string, response *http.Response) upconn.AnswerKind {
	switch {
	case response.Header.Get("X-Id") != call.ID:
		return upconn.Stale
	case response.StatusCode == http.StatusMisdirectedRequest:
		return upconn.KeyNotHeld
	}
	return upconn.Matched
}

func (dialect) Identifies(call *calls.Call, response *http.Response) bool {
	return response.Header.Get("X-Id") == call.ID
}

// host is one machine: a node and the upstream beside it.
type host struct {
	name     ident.Host
	service  ident.Service
	zone     ident.Place
	peers    string
	store    *store.Mem
	node     *mesh.Node
	upstream *httptest.Server

	mu   sync.Mutex
	rows []holds.Range
	// until is when the rows end; they count from the heartbeat.
	until time.Time
	ran   int
	stop  context.CancelFunc
}

// addrs counts the addresses on which listenLocal has listened.
var addrs atomic.Uint32

// listenLocal listens on a port of a loopback address of its own, different also from those
// of other test processes. The port can be closed and opened again without another
// test taking it meanwhile.
func listenLocal(c *qt.C) net.Listener {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%128, pid/128%256, 1+addrs.Add(1)%250))
	c.Assert(err, qt.IsNil)
	return l
}

// freeAddr returns an address on which nothing listens.
func freeAddr(c *qt.C) string {
	l := listenLocal(c)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// decodePlan returns a fixed plan whose version is the length of the document.
func decodePlan(data []byte) (*vhost.RoutingConfig, error) {
	return vhost.New(uint64(max(1, len(data))), []*vhost.Route{
		vhost.NewRoute("shop", "/e/", []vhost.Destination{{Service: ordered, Weight: 1}}, calls.RoutePolicy{
			Route: "e", Repeatable: true, Attempts: 2, Target: time.Second, Timeout: 2 * time.Second,
		}),
		vhost.NewRoute("shop", "/m/", []vhost.Destination{{Service: plain, Weight: 1}}, calls.RoutePolicy{
			Route: "m", Repeatable: true, Attempts: 2, Target: time.Second, Timeout: 2 * time.Second,
		}),
	}, []vhost.Service{{Name: ordered, Ordered: true}, {Name: plain}}, vhost.Limits{})
}

// interval is the heartbeat interval of a test's upstream.
const interval = 200 * time.Millisecond

// drain is the drain time of a test's upstream, evacuation the time in which a zone is
// evacuated.
const (
	drain      = time.Second
	evacuation = 3 * time.Second
)

func newHost(c *qt.C, name string, service ident.Service, mem *store.Mem) *host {
	return newHostIn(c, name, "z", service, mem)
}

// newHostIn starts a host in the given zone.
func newHostIn(c *qt.C, name string, zone ident.Place, service ident.Service, mem *store.Mem) *host {
	h := &host{name: ident.Host(name), zone: zone, service: service, peers: freeAddr(c), store: mem}
	h.upstream = &httptest.Server{Listener: listenLocal(c), Config: &http.Server{Handler: h}}
	h.upstream.Start()
	h.start(c)
	c.Cleanup(func() { h.close() })
	return h
}

func (h *host) start(c *qt.C) {
	h.startBeside(c, time.Now().UnixMilli(), func(*mesh.Node) {})
}

// startBeside starts the daemon beside an upstream that is already running, which
// started at life. The function beforeHeartbeats runs before the first heartbeat.
func (h *host) startBeside(c *qt.C, life int64, beforeHeartbeats func(node *mesh.Node)) {
	node, err := mesh.New(mesh.Settings{
		Host: h.name, Zone: h.zone, Service: h.service, Upstream: h.upstream.Listener.Addr().String(), PeerAddr: h.peers,
		Interval: interval, MaxGrant: 10 * time.Second, Drain: drain, Evacuation: evacuation,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}, mesh.Ports{Store: h.store, Dialect: dialect{}, Config: mesh.ConfigSource{
		Topic: "op", Key: "config", EvacuationPrefix: "evacuate/", Decode: decodePlan,
	}})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.node, h.stop = node, cancel
	h.mu.Unlock()
	beforeHeartbeats(node)
	go h.sendHeartbeats(ctx, node, life)
}

func (h *host) close() {
	h.stop()
	_ = h.node.Close()
	h.upstream.Close()
}

// sendHeartbeats sends heartbeats and applies the grants in the answers.
func (h *host) sendHeartbeats(ctx context.Context, node *mesh.Node, life int64) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		sent := time.Now()
		h.mu.Lock()
		hb := mesh.Heartbeat{Slots: 8, Heartbeat: owner.Heartbeat{Life: life, ID: string(h.name), Number: n}}
		for _, r := range h.rows {
			hb.Holds = append(hb.Holds, owner.Held{Span: r.Span, Fence: r.Fence})
		}
		h.mu.Unlock()
		g := node.Heartbeat(ctx, hb)
		if g.Known {
			h.mu.Lock()
			h.rows, h.until = g.Rows, sent.Add(g.Hold)
			h.mu.Unlock()
		}
		time.Sleep(max(0, interval-time.Since(sent)))
	}
}

// ServeHTTP runs a call if the upstream holds its key.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	key, _ := strconv.Atoi(r.Header.Get("X-Key"))
	h.mu.Lock()
	held := h.service != ordered
	for _, row := range h.rows {
		held = held || row.Span.Contains(uint32(key))
	}
	if held {
		h.ran++
	}
	h.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = w.Write([]byte("ran at " + string(h.name)))
}

// fleet starts hosts of both services and waits until every host can reach the owners
// of all keys and the upstreams of the service without keys.
func fleet(c *qt.C, events, media int) (*store.Mem, []*host) {
	mem := store.NewMem(clockwork.NewRealClock())
	_, err := mem.Put(context.Background(), store.Write{Topic: "op", Key: "config", Value: []byte("x"), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
	var hosts []*host
	for i := range events {
		hosts = append(hosts, newHost(c, fmt.Sprintf("e%02d", i), ordered, mem))
	}
	for i := range media {
		hosts = append(hosts, newHost(c, fmt.Sprintf("m%02d", i), plain, mem))
	}
	awaitServed(c, hosts)
	return mem, hosts
}

// awaitServed waits until every host can reach the owners of keys from all ranges and, if
// there are any, the upstreams of the service without keys.
func awaitServed(c *qt.C, hosts []*host) {
	plainHosts := slices.ContainsFunc(hosts, func(h *host) bool { return h.service == plain })
	for _, h := range hosts {
		// Hosts learn of the first owners at different times.
		for _, key := range []uint32{0, 20000, 40000, 65535} {
			eventually(c, func() bool { return call(h.node, key) == nil })
		}
		eventually(c, func() bool {
			if !plainHosts {
				return true
			}
			_, err := h.node.Run(context.Background(), newCall(plain, 0))
			return err == nil
		})
	}
}

func eventually(c *qt.C, f func() bool) {
	c.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.Fatal("condition not met within 15 s")
}

var next struct {
	sync.Mutex
	id int
}

func newCall(service ident.Service, key uint32) *calls.Call {
	next.Lock()
	next.id++
	id := next.id
	next.Unlock()
	plan, _ := decodePlan(nil)
	route, _ := plan.Match("shop", map[ident.Service]string{ordered: "/e/1", plain: "/m/1"}[service])
	return &calls.Call{
		ID: fmt.Sprint(id), Service: service, Method: http.MethodGet, Path: "/x", Body: calls.NewBuffered(nil),
		Deadline: time.Now().Add(2 * time.Second), Point: key, Ordered: service == ordered, Terms: route.Terms(),
	}
}

func call(node *mesh.Node, key uint32) error {
	_, err := node.Run(context.Background(), newCall(ordered, key))
	return err
}

func TestCallsReachOwners(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 4, 2)
	for i := range 200 {
		c.Assert(call(hosts[i%len(hosts)].node, uint32(i*327)), qt.IsNil)
		_, err := hosts[i%len(hosts)].node.Run(context.Background(), newCall(plain, 0))
		c.Assert(err, qt.IsNil)
	}
	for _, h := range hosts {
		h.mu.Lock()
		c.Check(h.ran > 0, qt.IsTrue, qt.Commentf("%s ran no calls", h.name))
		h.mu.Unlock()
	}
}

func TestLossOfADaemon(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 4, 2)
	lost := hosts[1]
	lost.close()
	begun := time.Now()
	for _, key := range []uint32{0, 9000, 20000, 30000, 40000, 50000, 65535} {
		eventually(c, func() bool { return call(hosts[0].node, key) == nil })
	}
	t.Logf("all keys are served again after %v", time.Since(begun))
}

func TestRestartBesideALivingUpstream(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 4, 2)
	restarted := hosts[1]
	restarted.stop()
	c.Assert(restarted.node.Close(), qt.IsNil)
	restarted.start(c)
	begun := time.Now()
	for _, key := range []uint32{0, 9000, 20000, 30000, 40000, 50000, 65535} {
		eventually(c, func() bool { return call(hosts[0].node, key) == nil })
	}
	t.Logf("all keys are served again after %v", time.Since(begun))
}

func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	mem, hosts := fleet(c, 4, 2)
	mem.SetFaults(store.MemFaults{Down: true})
	// The outage lasts longer than a lease and a grant.
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, key := range []uint32{0, 20000, 40000, 65535} {
			c.Assert(call(hosts[0].node, key), qt.IsNil)
		}
	}
	mem.SetFaults(store.MemFaults{})
}

func TestStopGivesKeysAway(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 4, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- hosts[1].node.Stop(ctx) }()
	for failed := 0; ; {
		if err := call(hosts[0].node, uint32(time.Now().UnixNano()%65536)); err != nil {
			failed++
			c.Assert(failed < 3, qt.IsTrue, qt.Commentf("%v", err))
		}
		select {
		case err := <-stopped:
			c.Assert(err, qt.IsNil)
			return
		default:
		}
	}
}

// TestIdleFleet runs an idle fleet of MOOR_IDLE daemons, for manual profiling.
func TestIdleFleet(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("MOOR_IDLE"))
	if err != nil {
		n = 5
	}
	c := qt.New(t)
	mem, _ := fleet(c, n, n/2)
	before := mem.Calls()
	length := time.Second
	if n > 5 {
		length = 20 * time.Second
	}
	time.Sleep(length)
	t.Logf("%d daemons made %d store calls in %v", n+n/2, mem.Calls()-before, length)
}

// TestUnknownUpstreamThatLeaves sends the leave notice of an upstream to a daemon that
// has just started and does not know it yet; the upstream goes on sending heartbeats.
// It must get no calls once the other daemons have learned that it leaves.
func TestUnknownUpstreamThatLeaves(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 3, 2)
	leaving, other := hosts[3], hosts[4]
	began := time.Now().Add(-time.Minute).UnixMilli()
	leaving.stop()
	c.Assert(leaving.node.Close(), qt.IsNil)
	leaving.startBeside(c, began, func(node *mesh.Node) { node.Leave(string(leaving.name)) })
	eventually(c, func() bool {
		// The daemon has a configuration and receives its upstream's heartbeats.
		_, err := leaving.node.Run(context.Background(), newCall(plain, 0))
		return err == nil
	})
	time.Sleep(time.Second)
	ran := func(h *host) int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.ran
	}
	before, served := ran(leaving), ran(other)
	for i := range 40 {
		_, err := hosts[i%len(hosts)].node.Run(context.Background(), newCall(plain, 0))
		c.Assert(err, qt.IsNil)
	}
	c.Check(ran(leaving), qt.Equals, before)
	c.Check(ran(other), qt.Equals, served+40)
}

// TestConfigurationAfterASilence makes the store stop answering the reads that already
// wait, while new reads are answered. A configuration that is written then must be in
// force long before those reads time out.
func TestConfigurationAfterASilence(t *testing.T) {
	c := qt.New(t)
	mem, hosts := fleet(c, 3, 2)
	time.Sleep(4 * time.Second)
	mem.HangPendingReads()
	_, err := mem.Put(context.Background(), store.Write{Topic: "op", Key: "config", Value: []byte("xx"), At: store.AnyOffset})
	c.Assert(err, qt.IsNil)
	for _, h := range hosts {
		eventually(c, func() bool { return h.node.Plan().Version() == 2 })
	}
}
