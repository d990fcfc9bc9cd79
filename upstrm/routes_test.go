package upstrm_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/route"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
)

// staleView is a view whose table may name an earlier owner. Only the actual
// owner serves the shard.
type staleView struct {
	memberView
	truth *mesh
}

func (v *staleView) Serves(ident.Shard, time.Time) (ident.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.truth.routers[v.truth.owner].inc == v.self && v.owner == v.self
}

func (v *staleView) Lookup(name ident.Service, hash uint64) (table.Target, bool) {
	target, ok := v.memberView.Lookup(name, hash)
	for i, r := range v.truth.routers[:2] {
		target.Successors[i] = r.inc
	}
	return target, ok
}

// mesh connects the routers of three members.
type mesh struct {
	routers []*routerNode
	owner   int
	down    [3]bool
	lossy   bool
	// wrongOwnerRuns counts the runs at a member that was not the owner.
	wrongOwnerRuns int
	ledger         *ledger
}

// localUpstream is the upstream of one member's host.
type localUpstream struct {
	mesh   *mesh
	member int
}

func (b localUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.mesh.owner != b.member {
		b.mesh.wrongOwnerRuns++
	}
	return b.mesh.ledger.RoundTrip(r)
}

type routerNode struct {
	inc      ident.Incarnation
	view     *staleView
	executor *upstrm.Executor
	router   *route.Router
}

func newMesh(t *rapid.T) *mesh {
	m := &mesh{ledger: &ledger{runs: make(map[string]int)}}
	for i := range 3 {
		n := &routerNode{inc: ident.NewIncarnation(ident.Host(strconv.Itoa(i)), 1)}
		n.view = &staleView{memberView: memberView{self: n.inc}, truth: m}
		n.executor = upstrm.New(func() upstrm.View { return n.view }, upstrm.WithRoundTripper(localUpstream{m, i}))
		if err := n.executor.Attach(announced); err != nil {
			t.Fatal(err)
		}
		n.router = route.New(func() route.View { return n.view }, n.executor, m, route.WithSeed(1))
		m.routers = append(m.routers, n)
	}
	for i := range m.routers {
		m.refreshTable(i)
	}
	return m
}

// refreshTable updates one member's table to the actual owner.
func (m *mesh) refreshTable(i int) {
	owner := m.routers[m.owner].inc
	m.routers[i].view.set(func(v *view) { v.owner, v.epoch, v.lease = owner, v.epoch+1, time.Second })
}

// Forward implements route.Forwarder.
func (m *mesh) Forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error) {
	for i, n := range m.routers {
		if n.inc != to.Inc {
			continue
		}
		if m.down[i] {
			return nil, calls.NewNotRun(calls.ReasonPeerDown)
		}
		reply, err := n.router.Run(ctx, call)
		if err == nil && m.lossy {
			return nil, calls.NewUnknown(calls.ReasonPeerLost)
		}
		return reply, err
	}
	return nil, calls.NewNotRun(calls.ReasonPeerDown)
}

// TestHistoryOfRoutedCalls sends non-idempotent calls without an idempotency key
// to random daemons while owners change, tables are stale and answers are lost.
func TestHistoryOfRoutedCalls(t *testing.T) {
	setDefault(t, "rapid.seed", "0", "7")
	setDefault(t, "rapid.checks", "100", "60")
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(t)
		defer func() {
			for _, n := range m.routers {
				_ = n.executor.Close()
			}
		}()
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				next++
				m.ledger.fault = rapid.SampledFrom([]string{"", "", "refused", "lost after the run"}).Draw(t, "fault")
				m.lossy = rapid.Bool().Draw(t, "lossy")
				m.send(t, rapid.IntRange(0, 2).Draw(t, "at"), strconv.Itoa(next))
			},
			"move":  func(t *rapid.T) { m.owner = rapid.IntRange(0, 2).Draw(t, "owner") },
			"learn": func(t *rapid.T) { m.refreshTable(rapid.IntRange(0, 2).Draw(t, "member")) },
			"down": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "member")
				m.down[i] = !m.down[i]
			},
		})
	})
}

func (m *mesh) send(t *rapid.T, at int, id string) {
	call := newCall(http.MethodPost, "k", "stop")
	call.Header.Set(calls.HeaderIdempotency, id)
	call.Deadline = time.Now().Add(8 * time.Millisecond)
	got, reason, reply := outcome(m.routers[at].router, call)
	runs := m.ledger.runs[id]
	switch {
	case m.wrongOwnerRuns > 0:
		t.Fatalf("call %s ran at a member that does not own its key", id)
	case runs > 1:
		t.Fatalf("call %s ran %d times", id, runs)
	case got == calls.NotRun && runs != 0:
		t.Fatalf("call %s: told not-run (%s) after it ran", id, reason)
	case got == calls.Answered && runs != 1:
		t.Fatalf("call %s: answered after %d runs", id, runs)
	}
	if reply != nil {
		_ = reply.Body.Close()
	}
}
