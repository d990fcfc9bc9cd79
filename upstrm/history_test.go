package upstrm_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/upstrm"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

var errLost = errors.New("connection lost")

// ledger is an upstream that counts the runs of each idempotency key. The field
// fault makes it refuse the next call or lose its answer.
type ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	fault string
}

func (l *ledger) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}
	switch l.fault {
	case "refused":
		response.StatusCode = http.StatusTooManyRequests
		response.Header.Set(calls.HeaderRan, "no")
		return response, nil
	case "lost after the run":
		l.runs[r.Header.Get(calls.HeaderIdempotency)]++
		return nil, errLost
	}
	l.runs[r.Header.Get(calls.HeaderIdempotency)]++
	text := "done " + r.Header.Get(calls.HeaderIdempotency)
	response.Body, response.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	return response, nil
}

// daemon is one member with its journal and executor.
type daemon struct {
	inc      ident.Incarnation
	view     *memberView
	journal  *journl.Journal
	relay    *journl.Relay
	executor *upstrm.Executor
}

// memberView is the view of one member, which may or may not own the shard.
type memberView struct {
	view
	self ident.Incarnation
}

func (v *memberView) Self() ident.Incarnation { return v.self }

func (v *memberView) Serves(ident.Shard, time.Time) (ident.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.owner == v.self
}

// fleet is a set of daemons that share one upstream and own one shard in turn.
type fleet struct {
	daemons []*daemon
	owner   int
	epoch   ident.Epoch
	// unreachable is the index of a daemon that receives no messages, or -1.
	unreachable int
	// successors marks the daemons that are named as successors. A shard may
	// go to another daemon too, as after an eviction.
	successors [3]bool
	ledger     *ledger
}

func newFleet(ack journl.Ack) *fleet {
	f := &fleet{epoch: 1, unreachable: -1, successors: [3]bool{true, true, false}, ledger: &ledger{runs: make(map[string]int)}}
	for i := range 3 {
		d := &daemon{inc: ident.NewIncarnation(ident.Host(fmt.Sprint(i)), 1)}
		d.view = &memberView{self: d.inc}
		d.relay = journl.NewRelay(sender{f, d}, func(ident.Shard) []ident.Incarnation { return f.others(d) },
			journl.WithAck(ack), journl.WithBound(time.Millisecond))
		d.journal = journl.New(journl.WithReplicator(d.relay), journl.WithSkew(0))
		d.executor = upstrm.New(func() upstrm.View { return d.view },
			upstrm.WithJournal(d.journal), upstrm.WithRoundTripper(f.ledger))
		f.daemons = append(f.daemons, d)
	}
	f.publish()
	f.copyJournal()
	return f
}

func (f *fleet) others(d *daemon) []ident.Incarnation {
	var all []ident.Incarnation
	for i, o := range f.daemons {
		if o != d && f.successors[i] {
			all = append(all, o.inc)
		}
	}
	return all
}

// publish sets the current owner and epoch in every view and journal.
func (f *fleet) publish() {
	for i, d := range f.daemons {
		if i == f.owner {
			d.journal.Serve([]journl.Holding{{Shard: shardOf("k"), Epoch: f.epoch}})
		} else {
			d.journal.Serve(nil)
		}
		d.view.set(func(v *view) { v.owner, v.epoch, v.lease = f.daemons[f.owner].inc, f.epoch, time.Second })
	}
}

// copyJournal transfers the owner's journal to the successors.
func (f *fleet) copyJournal() {
	d := f.daemons[f.owner]
	for _, to := range f.others(d) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = d.relay.Transfer(ctx, to, d.journal.Export(shardOf("k"), f.epoch))
		cancel()
	}
}

// sender delivers a daemon's journal messages.
type sender struct {
	fleet *fleet
	from  *daemon
}

func (s sender) SendJournal(to ident.Incarnation, m *wire.Journal) {
	for i, d := range s.fleet.daemons {
		if d.inc == to && i != s.fleet.unreachable {
			if ack := d.journal.Receive(m); ack != nil {
				s.from.relay.Acked(ack)
			}
		}
	}
}

// TestHistoryOfIdempotencyKeys retries calls while answers are lost, daemons
// become unreachable and the shard is taken over. No key may run twice, and a
// call that is reported as not run must not have run.
func TestHistoryOfIdempotencyKeys(t *testing.T) {
	setDefault(t, "rapid.seed", "0", "7")
	setDefault(t, "rapid.checks", "100", "300")
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(journl.AckAll)
		defer f.close()
		for _, d := range f.daemons {
			if err := d.executor.Attach(announced); err != nil {
				t.Fatal(err)
			}
		}
		var keys []string
		answered := make(map[string]string)
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				key, err := calls.NewIdempotencyKey(time.Now())
				if err != nil {
					t.Fatal(err)
				}
				keys = append(keys, key)
				f.send(t, key, answered)
			},
			"again": func(t *rapid.T) {
				if len(keys) > 0 {
					f.send(t, rapid.SampledFrom(keys).Draw(t, "key"), answered)
				}
			},
			"takeover": func(t *rapid.T) {
				f.owner = rapid.IntRange(0, 2).Draw(t, "owner")
				f.epoch++
				f.publish()
			},
			"heirs": func(t *rapid.T) {
				f.successors[rapid.IntRange(0, 2).Draw(t, "heir")] = rapid.Bool().Draw(t, "named")
				f.epoch++
				f.publish()
			},
			"copy": func(*rapid.T) { f.copyJournal() },
			"deaf": func(t *rapid.T) { f.unreachable = rapid.IntRange(-1, 2).Draw(t, "deaf") },
			"": func(t *rapid.T) {
				for key, n := range f.ledger.runs {
					if n > 1 {
						t.Fatalf("key %s ran %d times", key, n)
					}
				}
			},
		})
	})
}

// setDefault sets a flag that still has its usual value, so that a value from
// the command line takes precedence.
func setDefault(t *testing.T, name, usual, value string) {
	t.Helper()
	c := qt.New(t)
	f := flag.Lookup(name)
	c.Assert(f, qt.IsNotNil)
	if f.Value.String() == usual {
		c.Assert(flag.Set(name, value), qt.IsNil)
		t.Cleanup(func() { _ = flag.Set(name, usual) })
	}
}

// send runs a call with an idempotency key at the owner under a random fault and
// checks its outcome.
func (f *fleet) send(t *rapid.T, key string, answered map[string]string) {
	f.ledger.fault = rapid.SampledFrom([]string{"", "", "refused", "lost after the run"}).Draw(t, "fault")
	before := f.ledger.runs[key]
	call := newCall(http.MethodPost, "k", "stop")
	call.Idempotency = key
	call.Header.Set(calls.HeaderIdempotency, key)
	got, reason, reply := outcome(f.daemons[f.owner].executor, call)
	switch got {
	case calls.NotRun:
		if f.ledger.runs[key] != 0 {
			t.Fatalf("key %s: told not-run (%s) after %d runs", key, reason, f.ledger.runs[key])
		}
	case calls.Answered:
		body, err := io.ReadAll(reply.Body)
		if err != nil || f.ledger.runs[key] != 1 {
			t.Fatalf("key %s: answered after %d runs: %v", key, f.ledger.runs[key], err)
		}
		if old, ok := answered[key]; ok && old != string(body) {
			t.Fatalf("key %s: answered %q and %q", key, old, body)
		}
		answered[key] = string(body)
	case calls.Unknown:
		if before == 1 && f.ledger.runs[key] != 1 {
			t.Fatalf("key %s ran again", key)
		}
	}
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		_ = d.executor.Close()
	}
}

// TestCallerGoesAway cancels the caller's context while its request runs. A
// retry must get the recorded answer from the journal.
func TestCallerGoesAway(t *testing.T) {
	c := qt.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	v := newView()
	v.epoch = 1
	x, _ := newExecutor(t, v, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "stopped")
	}), upstrm.WithJournal(journl.New()))
	key, err := calls.NewIdempotencyKey(time.Now())
	c.Assert(err, qt.IsNil)
	send := func(ctx context.Context) (*calls.Reply, error) {
		call := newCall(http.MethodPost, "r1", "")
		call.Idempotency = key
		return x.Run(ctx, call)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = send(ctx)
	}()
	<-started
	cancel()
	close(release)
	<-done
	reply, err := send(context.Background())
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "stopped")
	c.Assert(reply.Replayed, qt.IsTrue)
}
