package peers_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// BenchmarkForward compares a forwarded call with a direct call of the same handler.
func BenchmarkForward(b *testing.B) {
	f := newFleet(b)
	server := newHandler()
	_, to := f.join("b", server)
	a, _ := f.join("a", newHandler())
	direct := func(call *calls.Call) (*calls.Reply, error) { return server.Run(context.Background(), call) }
	forward := func(call *calls.Call) (*calls.Reply, error) { return a.Forward(context.Background(), to, call) }
	for _, bench := range []struct {
		name, method, body string
		run                func(*calls.Call) (*calls.Reply, error)
	}{
		{"direct get", http.MethodGet, "", direct},
		{"forward get", http.MethodGet, "", forward},
		{"direct post", http.MethodPost, "stop change", direct},
		{"forward post", http.MethodPost, "stop change", forward},
		{"forward put", http.MethodPut, "stop change", forward},
	} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := bench.run(newCall(bench.method, bench.body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		})
	}
}

// BenchmarkForwardLarge measures the streaming of an answer of 4 MiB.
func BenchmarkForwardLarge(b *testing.B) {
	const size = 4 << 20
	f := newFleet(b)
	server := newHandler()
	data := make([]byte, size)
	server.run = func(context.Context, *calls.Call) (*calls.Reply, error) { return reply(data), nil }
	_, to := f.join("b", server)
	a, _ := f.join("a", newHandler())
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		r, err := a.Forward(context.Background(), to, newCall(http.MethodGet, ""))
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != size {
			b.Fatal(n, err)
		}
		_ = r.Body.Close()
	}
}

// BenchmarkRenewal measures the bytes of one renewal and its grant, as control messages
// and as UDP payload. Only one renewal is in flight at a time.
func BenchmarkRenewal(b *testing.B) {
	f := newFleet(b)
	c := qt.New(b)
	ha, hb := newHandler(), newHandler()
	a, ma := f.join("dallas-1", ha)
	o, mo := f.join("houston-1", hb)
	b.ReportAllocs()
	n := 0
	before := a.Stats()
	for b.Loop() {
		a.Send(mo, wire.Message{From: ma.Inc, To: mo.Inc, Clock: 1 << 60, Renew: &wire.Renew{Round: 1 << 20, Seq: 1 << 12}})
		m := receive(c, hb.messages)
		o.Send(ma, wire.Message{From: mo.Inc, To: ma.Inc, Clock: 1 << 60, Grant: &wire.Grant{Round: m.Renew.Round, Seq: 1 << 12}})
		receive(c, ha.messages)
		n++
	}
	after := a.Stats()
	b.ReportMetric(float64(after.ControlOut.Bytes-before.ControlOut.Bytes)/float64(n), "renew-B")
	b.ReportMetric(float64(after.ControlIn.Bytes-before.ControlIn.Bytes)/float64(n), "grant-B")
	b.ReportMetric(float64(after.WireOut.Bytes+after.WireIn.Bytes-before.WireOut.Bytes-before.WireIn.Bytes)/float64(n), "wire-B")
	b.ReportMetric(float64(after.WireOut.Count+after.WireIn.Count-before.WireOut.Count-before.WireIn.Count)/float64(n), "packets")
}

// BenchmarkRenewalPaced sends a renewal every half second, as a member does
// with each witness, so that acknowledgements and probes are counted too. Run
// it with -benchtime 20x.
func BenchmarkRenewalPaced(b *testing.B) {
	f := newFleet(b)
	c := qt.New(b)
	ha, hb := newHandler(), newHandler()
	a, ma := f.join("dallas-1", ha)
	o, mo := f.join("houston-1", hb)
	pair := func() {
		a.Send(mo, wire.Message{From: ma.Inc, To: mo.Inc, Clock: 1 << 60, Renew: &wire.Renew{Round: 1 << 20, Seq: 1 << 12}})
		m := receive(c, hb.messages)
		o.Send(ma, wire.Message{From: mo.Inc, To: ma.Inc, Clock: 1 << 60, Grant: &wire.Grant{Round: m.Renew.Round, Seq: 1 << 12}})
		receive(c, ha.messages)
	}
	pair()
	time.Sleep(time.Second)
	before, n := a.Stats(), 0
	for b.Loop() {
		pair()
		time.Sleep(500 * time.Millisecond)
		n++
	}
	after := a.Stats()
	b.ReportMetric(float64(after.WireOut.Bytes-before.WireOut.Bytes)/float64(n), "out-B")
	b.ReportMetric(float64(after.WireIn.Bytes-before.WireIn.Bytes)/float64(n), "in-B")
	b.ReportMetric(float64(after.WireOut.Count-before.WireOut.Count)/float64(n), "out-packets")
}

// BenchmarkConnections opens connections to 400 peers in the same process and reports
// the heap bytes and goroutines for each connection, both ends included. Run it with
// -benchtime 1x.
func BenchmarkConnections(b *testing.B) {
	const members = 400
	f := newFleet(b)
	var spokes []table.Member
	for i := range members {
		_, m := f.join(ident.Host(fmt.Sprintf("s%d", i)), newHandler())
		spokes = append(spokes, m)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for b.Loop() {
		hub, mh := f.join("hub", newHandler())
		before, routines := heap(), runtime.NumGoroutine()
		start := time.Now()
		for _, m := range spokes {
			hub.Send(m, wire.Message{From: mh.Inc, Renew: &wire.Renew{Round: 1}})
		}
		eventually(f.c, "all connected", func() bool { return hub.Stats().Conns == members })
		b.ReportMetric(time.Since(start).Seconds(), "s-to-connect")
		b.ReportMetric(float64(heap()-before)/members, "B/conn")
		b.ReportMetric(float64(runtime.NumGoroutine()-routines)/members, "goroutines/conn")
	}
}
