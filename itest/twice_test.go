package itest_test

import (
	"bytes"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/calls"
)

// TestTwoLosses kills the host that took over as soon as it has. Keys are
// served again within the bound of each loss.
func TestTwoLosses(t *testing.T) {
	t.Parallel()
	f := takeFleet(t, size{hosts: 7})
	victim, others := f.hosts[1], without(f.hosts, f.hosts[1])
	keys := f.keysOf(victim, 12, others[0])
	done := f.load(14*time.Second, 120, f.hosts[0], f.hosts[2])
	time.Sleep(time.Second)
	victim.kill()
	lost := time.Now()
	second := f.taker(victim, keys, others)
	for second == f.hosts[0] || second == f.hosts[2] {
		// These two take the load; another taker does as well.
		second = f.taker(victim, keys, without(others, f.hosts[0], f.hosts[2]))
	}
	second.kill()
	again := time.Now()
	t.Logf("%s took over after %v and was lost", second.name, again.Sub(lost).Round(time.Millisecond))
	p := newProbe(f, keys, f.hosts[0], f.hosts[2])
	time.Sleep(8 * time.Second)
	p.within(serveAgain)
	t.Log(describe(done()))
	f.settle()
	f.check()
}

// taker waits until one of the lost host's keys is served by some host, and
// returns that.
func (f *fleet) taker(victim *host, keys []string, others []*host) *host {
	f.t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, key := range keys {
			a := f.hosts[0].send(ask{method: "GET", key: key, timeout: 300 * time.Millisecond})
			if a.outcome != calls.Answered.String() || a.owner == victim.name {
				continue
			}
			for _, h := range others {
				if h.name == a.owner {
					return h
				}
			}
		}
	}
	f.t.Fatal("nobody took over")
	return nil
}

// TestEvict loses an owner and two of its witnesses at once, so that nobody
// can tell that it is gone. An operator's word makes its keys served again.
func TestEvict(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := takeFleet(t, size{hosts: 8})
	victim := f.hosts[1]
	// A fleet that has just started may still change its incarnations.
	time.Sleep(500 * time.Millisecond)
	status, err := victim.status()
	f.must(err)
	c.Assert(len(status.Witnesses), qt.Equals, 3)
	lost := []*host{victim}
	members := []string{status.Self.String()}
	for _, w := range status.Witnesses[:2] {
		for _, h := range f.hosts {
			if h.name == string(w.Host) {
				lost = append(lost, h)
				members = append(members, w.String())
			}
		}
	}
	left := without(f.hosts, lost...)
	keys := f.keysOf(victim, 8, left[0])
	done := f.load(16*time.Second, 80, left...)
	for _, h := range lost {
		h.daemon.cmd.Process.Kill()
		h.upstream.cmd.Process.Kill()
	}
	time.Sleep(6 * time.Second)
	answered := 0
	for _, key := range keys {
		if a := left[0].send(ask{method: "GET", key: key, timeout: 300 * time.Millisecond}); a.outcome == calls.Answered.String() {
			answered++
		}
	}
	t.Logf("6 s after the loss, before the eviction: %d of %d keys served", answered, len(keys))
	c.Check(answered, qt.Equals, 0, qt.Commentf("two votes are missing"))
	ordered := time.Now()
	f.evict(members[0], left[0])
	for _, member := range members[1:] {
		// The witnesses' own keys may have been taken over without an order.
		if f.isMember(member, left[0]) {
			f.evict(member, left[0])
		}
	}
	p := newProbe(f, keys, left[0], left[1])
	time.Sleep(5 * time.Second)
	p.within(serveAgain)
	f.settle()
	t.Logf("every slot has an owner %v after the order", time.Since(ordered).Round(time.Millisecond))
	t.Log(describe(done()))
	f.check()
}

// isMember reports whether a host's table names a member.
func (f *fleet) isMember(member string, at *host) bool {
	f.t.Helper()
	status, err := at.status()
	f.must(err)
	return slices.ContainsFunc(status.Members, func(m admin.Member) bool { return m.Inc.String() == member })
}

// evict orders an eviction as an operator does.
func (f *fleet) evict(member string, through *host) {
	f.t.Helper()
	out, err := exec.Command(program, "evict", member, "--admin", "http://"+through.admin, "--operator", "itest").CombinedOutput()
	if err != nil {
		f.t.Fatalf("evict %s: %v: %s", member, err, out)
	}
}

// TestIdempotencyEverywhere sends one request with one key through all
// daemons at once, and again after the loss of its owner.
func TestIdempotencyEverywhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := takeFleet(t, size{hosts: 5})
	victim, others := f.hosts[1], without(f.hosts, f.hosts[1])
	keys := f.keysOf(victim, 10, others[0])
	ids := make([]string, len(keys))
	for i := range ids {
		id, err := calls.NewIdempotencyKey(time.Now())
		f.must(err)
		ids[i] = id
	}
	send := func(hosts []*host) map[string]int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		told := make(map[string]int)
		for i := range keys {
			for _, h := range hosts {
				for range 2 {
					wg.Add(1)
					go func() {
						defer wg.Done()
						a := h.send(ask{method: "POST", key: keys[i], query: "time=60ms", idempotency: ids[i],
							body: strings.NewReader("sign-up"), timeout: 5 * time.Second})
						mu.Lock()
						defer mu.Unlock()
						name := a.outcome + " " + a.reason
						if a.replayed {
							name += "replayed"
						}
						told[name]++
					}()
				}
			}
		}
		wg.Wait()
		return told
	}
	t.Logf("through all at once: %v", send(f.hosts))
	f.ranOnce(c, ids, 1)
	told := send(f.hosts)
	t.Logf("again: %v", told)
	c.Check(told["answered replayed"], qt.Equals, 2*len(keys)*len(f.hosts))
	victim.kill()
	t.Logf("at the loss: %v", send(others))
	f.ranOnce(c, ids, 1)
	f.settle()
	told = send(others)
	t.Logf("after the loss: %v", told)
	c.Check(told["answered replayed"]+told["unknown idempotency-lost"]+told["unknown idempotency-expired"], qt.Equals, 2*len(keys)*len(others))
	f.ranOnce(c, ids, 1)
	f.check()
}

// ranOnce fails the test unless each idempotency key was executed n times.
func (f *fleet) ranOnce(c *qt.C, ids []string, n int) {
	f.t.Helper()
	runs := make(map[string]int)
	for _, h := range f.hosts {
		for _, e := range h.executions() {
			runs[e.Idempotency]++
		}
	}
	for _, id := range ids {
		c.Check(runs[id], qt.Equals, n, qt.Commentf("idempotency key %s", id))
	}
}

// TestPoison sends a request that crashes each upstream that runs it, again
// and again, among 100 innocent ones.
func TestPoison(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := takeFleet(t, size{hosts: 5})
	guard := f.guardUpstreams()
	defer guard.end()
	victim := f.hosts[1]
	keys := f.keysOf(victim, 101, f.hosts[0])
	innocents := make([]answer, 100)
	tries := make([]int, len(innocents))
	refused := make([]bool, len(innocents))
	var wg sync.WaitGroup
	for i := range innocents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := f.hosts[i%len(f.hosts)]
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				tries[i]++
				innocents[i] = h.send(ask{method: []string{"GET", "PUT"}[i%2], key: keys[i+1], query: "time=400ms", body: strings.NewReader("x"), timeout: 8 * time.Second})
				refused[i] = refused[i] || innocents[i].reason == string(calls.ReasonQuarantine)
				if innocents[i].outcome == calls.Answered.String() {
					return
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	bad := ask{method: "PUT", key: keys[0], query: "poison=yes", timeout: 3 * time.Second}
	var last answer
	for i := range 40 {
		last = f.hosts[i%len(f.hosts)].send(bad)
		if last.reason == string(calls.ReasonQuarantine) {
			t.Logf("refused at try %d, after %d crashes", i+1, f.crashes())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(last.reason, qt.Equals, string(calls.ReasonQuarantine), qt.Commentf("%+v", last))
	c.Check(f.crashes(), qt.Equals, 2)
	time.Sleep(time.Second)
	for _, h := range f.hosts {
		a := h.send(bad)
		c.Check(a.outcome+" "+a.reason, qt.Equals, "not-run quarantine", qt.Commentf("at %s: %+v", h.name, a))
	}
	c.Check(f.crashes(), qt.Equals, 2)
	wg.Wait()
	most := 0
	for i, a := range innocents {
		most = max(most, tries[i])
		c.Check(a.outcome, qt.Equals, calls.Answered.String(), qt.Commentf("innocent %d: %+v", i, a))
		c.Check(refused[i], qt.IsFalse, qt.Commentf("innocent %d was refused", i))
	}
	t.Logf("innocent calls: at most %d tries", most)
	f.lift(c, bad)
	f.settle()
	f.check()
}

// crashes counts the executions that crashed an upstream.
func (f *fleet) crashes() int {
	n := 0
	for _, h := range f.hosts {
		for _, e := range h.executions() {
			if e.Crash {
				n++
			}
		}
	}
	return n
}

// lift has operators see the refused request at every daemon and lift it.
func (f *fleet) lift(c *qt.C, bad ask) {
	f.t.Helper()
	fingerprint := ""
	for _, h := range f.hosts {
		f.await("the quarantine at "+h.name, func() error {
			operator, url := h.operator()
			list, err := operator.Quarantine(briefly(f.t), url)
			if err != nil {
				return err
			}
			for _, q := range list {
				if q.Refused {
					fingerprint = q.Fingerprint
					return nil
				}
			}
			return fmt.Errorf("not among %d entries", len(list))
		})
	}
	out, err := exec.Command(program, "quarantine", "lift", string(service), fingerprint, "--admin", "http://"+f.hosts[0].admin).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", bytes.TrimSpace(out)))
	for _, h := range f.hosts {
		f.await("the lift at "+h.name, func() error {
			operator, url := h.operator()
			list, err := operator.Quarantine(briefly(f.t), url)
			if err != nil {
				return err
			}
			for _, q := range list {
				if q.Refused {
					return fmt.Errorf("still refused: %+v", q)
				}
			}
			return nil
		})
	}
	before := f.crashes()
	a := f.hosts[2].send(bad)
	c.Check(a.reason, qt.Not(qt.Equals), string(calls.ReasonQuarantine))
	c.Check(f.crashes(), qt.Equals, before+1, qt.Commentf("lifted: %+v", a))
}
