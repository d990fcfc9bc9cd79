package events_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/klog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 5, 4, 4, 30, 0, 0, time.UTC)

func TestClockRisesAndObserves(t *testing.T) {
	c := qt.New(t)
	wall := clockwork.NewFakeClockAt(start)
	clock := events.NewClock(wall)
	first := clock.Now()
	c.Assert(clock.Now() > first, qt.IsTrue, qt.Commentf("the wall clock stands"))
	c.Assert(first.Time().Sub(start).Abs() < time.Millisecond, qt.IsTrue)
	ahead := events.StampOf(start.Add(10 * time.Second))
	c.Assert(clock.Observe(ahead), qt.IsTrue)
	c.Assert(clock.Now() > ahead, qt.IsTrue)
	c.Assert(clock.Observe(events.StampOf(start.Add(time.Hour))), qt.IsFalse)
	c.Assert(clock.Now() < events.StampOf(start.Add(11*time.Second)), qt.IsTrue)
	wall.Advance(time.Minute)
	c.Assert(clock.Now().Time().Sub(start) >= time.Minute-time.Millisecond, qt.IsTrue)
}

func TestClockIsUniqueUnderConcurrency(t *testing.T) {
	c := qt.New(t)
	clock := events.NewClock(clockwork.NewFakeClockAt(start))
	var mu sync.Mutex
	seen := map[events.Stamp]bool{}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				s := clock.Now()
				mu.Lock()
				seen[s] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.Assert(seen, qt.HasLen, 2000)
}

func TestRecorderIsBoundedAndNumbers(t *testing.T) {
	c := qt.New(t)
	r := events.NewRecorder("a", events.NewClock(clockwork.NewFakeClockAt(start)), events.WithCapacity(5))
	for i := range 10 {
		r.Emit(events.Event{Kind: events.KindVote, Host: "forged", Offset: uint64(i), Note: strings.Repeat("x", 1000)})
	}
	b := r.Since(0, nil)
	c.Assert([]uint64{b.First, b.Next, b.Lost}, qt.DeepEquals, []uint64{0, 10, 6})
	c.Assert(b.Events, qt.HasLen, 4)
	c.Assert(b.Events[0].Offset, qt.Equals, uint64(6))
	c.Assert(b.Events[0].Host, qt.Equals, ident.Host("a"))
	c.Assert(b.Events[0].Note, qt.HasLen, events.MaxNoteBytes)
	c.Assert(r.Since(9, nil).Events, qt.HasLen, 1)
	c.Assert(r.Since(10, nil).Events, qt.HasLen, 0)
	c.Assert(r.Close(), qt.IsNil)
}

func TestFloodLeavesOwnershipEvents(t *testing.T) {
	c := qt.New(t)
	r := events.NewRecorder("a", events.NewClock(clockwork.NewFakeClockAt(start)))
	r.Emit(events.Event{Kind: events.KindTakeover, Service: "s", Epoch: 2})
	for range 10 * events.DefaultCapacity {
		r.Emit(events.Event{Kind: events.KindShed, Service: "s"})
	}
	r.Emit(events.Event{Kind: events.KindDrain})
	b := r.Since(0, nil)
	c.Assert(b.Events[0].Kind, qt.Equals, events.KindTakeover)
	c.Assert(b.Events[len(b.Events)-1].Kind, qt.Equals, events.KindDrain)
	c.Assert(len(b.Events) <= events.DefaultCapacity, qt.IsTrue)
	c.Assert(b.Lost+uint64(len(b.Events)), qt.Equals, b.Next)
}

func TestRecorderLogsEachEventAsOneLine(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	clock := clockwork.NewFakeClockAt(start)
	r := events.NewRecorder("a", events.NewClock(clock), events.WithLogger(klog.New(&out, klog.WithClock(clock))))
	r.Emit(events.Event{
		Kind: events.KindTakeover, Service: "rounds-desk", First: 3, Last: 9, Epoch: 4,
		Member: ident.NewIncarnation("b", 1), Note: "lease lapsed",
	})
	r.Emit(events.Event{Kind: events.KindLapse})
	c.Assert(r.Close(), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0], qt.Matches, `time=\S+ level=info msg=takeover clock=[0-9a-f]{16} host=a service=rounds-desk slots=3-9 epoch=4 member=b~1 note="lease lapsed"`)
}

// TestMergeIsCausal sends messages at random between recorders whose wall clocks
// differ by up to 40 s. Guards against a merge that puts an event before one that
// happened before it.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		clocks, recorders := make([]*events.Clock, hosts), make([]*events.Recorder, hosts)
		past := make([]map[string]bool, hosts)
		for i := range hosts {
			skew := time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "skew")) * time.Millisecond
			clocks[i] = events.NewClock(clockwork.NewFakeClockAt(start.Add(skew)))
			recorders[i] = events.NewRecorder(ident.Host(rune('a'+i)), clocks[i])
			past[i] = map[string]bool{}
		}
		before := map[string]map[string]bool{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			name := string(rune('A'+n%26)) + string(rune('A'+n/26))
			recorders[from].Emit(events.Event{Kind: events.KindLease, Note: name})
			before[name] = map[string]bool{}
			for p := range past[from] {
				before[name][p] = true
			}
			past[from][name] = true
			clocks[to].Observe(clocks[from].Now())
			for p := range past[from] {
				past[to][p] = true
			}
		}
		var batches []events.Batch
		for _, r := range recorders {
			batches = append(batches, r.Since(0, nil))
		}
		seen := map[string]bool{}
		for _, e := range events.Merge(append(batches, batches[0])) {
			if seen[e.Note] {
				t.Fatalf("%s came twice", e.Note)
			}
			for p := range before[e.Note] {
				if !seen[p] {
					t.Fatalf("%s came before its cause %s", e.Note, p)
				}
			}
			seen[e.Note] = true
		}
		if len(seen) != len(before) {
			t.Fatalf("%d events of %d", len(seen), len(before))
		}
	})
}

func TestFilter(t *testing.T) {
	slot := ident.SlotOf("k", 4096)
	at := events.StampOf(start)
	e := events.Event{Clock: at, Host: "a", Kind: events.KindTakeover, Service: "s", First: slot, Last: slot + 1}
	lapse := events.Event{Clock: at, Host: "a", Kind: events.KindLapse}
	for _, test := range []struct {
		name         string
		filter       *events.Filter
		match, lapse bool
	}{
		{"nil", nil, true, true},
		{"empty", events.NewFilter(), true, true},
		{"service", events.NewFilter(events.WithService("s")), true, false},
		{"other service", events.NewFilter(events.WithService("x")), false, false},
		{"slot in range", events.NewFilter(events.WithService("s"), events.WithSlots(slot+1)), true, false},
		{"slot outside", events.NewFilter(events.WithService("s"), events.WithSlots(slot+2)), false, false},
		{"key", events.NewFilter(events.WithService("s"), events.WithKey("k")).Resolve(slot), true, false},
		{"slot with causes", events.NewFilter(events.WithService("s"), events.WithSlots(slot), events.WithCauses()), true, true},
		{"host", events.NewFilter(events.WithHosts("b", "a")), true, true},
		{"other host", events.NewFilter(events.WithHosts("b")), false, false},
		{"kind", events.NewFilter(events.WithKinds(events.KindLapse)), false, true},
		{"since", events.NewFilter(events.WithTimeRange(start.Add(time.Second), time.Time{})), false, false},
		{"until", events.NewFilter(events.WithTimeRange(time.Time{}, start.Add(time.Second))), true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.filter.Match(e), qt.Equals, test.match)
			c.Assert(test.filter.Match(lapse), qt.Equals, test.lapse)
			again, err := events.ParseFilter(test.filter.Query())
			c.Assert(err, qt.IsNil)
			c.Assert(again.Match(e), qt.Equals, test.match)
			c.Assert(again.Match(lapse), qt.Equals, test.lapse)
		})
	}
}

// sample returns the time line of a failover: b freezes, its witnesses vote, a takes
// over its shards, and b resumes and restarts.
func sample() []events.Event {
	wall := clockwork.NewFakeClockAt(start)
	clock := events.NewClock(wall)
	b1 := ident.NewIncarnation("b", 1)
	var list []events.Event
	add := func(after time.Duration, host ident.Host, e events.Event) {
		wall.Advance(after)
		e.Host, e.Clock, e.Last = host, clock.Now(), max(e.First, e.Last)
		list = append(list, e)
	}
	rounds := events.Event{Service: "rounds-desk", First: 0, Last: 511}
	with := func(kind events.Kind, epoch ident.Epoch, member ident.Incarnation, note string) events.Event {
		e := rounds
		e.Kind, e.Epoch, e.Member, e.Note = kind, epoch, member, note
		return e
	}
	add(0, "b", events.Event{Kind: events.KindJoin, Note: "houston"})
	add(time.Second, "b", with(events.KindClaim, 1, ident.Incarnation{}, "unowned"))
	add(0, "a", events.Event{Kind: events.KindSettings, Note: "lone-star revision 4"})
	add(50*time.Second, "c", events.Event{Kind: events.KindPeer, Member: b1, Note: "connection <silent>"})
	add(time.Second, "c", events.Event{Kind: events.KindVote, Member: b1, Note: "lease and drift over"})
	add(time.Millisecond, "d", events.Event{Kind: events.KindVote, Member: b1})
	add(time.Millisecond, "d", events.Event{Kind: events.KindVote, Member: ident.NewIncarnation("e", 1)})
	add(time.Millisecond, "a", with(events.KindTakeover, 2, b1, "two votes"))
	add(time.Millisecond, "c", with(events.KindServe, 2, ident.Incarnation{}, "late news"))
	add(9*time.Second, "b", events.Event{Kind: events.KindLapse, Note: "back from a pause"})
	add(time.Millisecond, "b", events.Event{Kind: events.KindRestart})
	add(time.Minute, "a", events.Event{Kind: events.KindDrain, Note: "operator"})
	return list
}

func TestWhy(t *testing.T) {
	c := qt.New(t)
	x := events.Why(sample(), ident.NewShard("rounds-desk", 17))
	c.Assert(x.Owner, qt.Equals, ident.Host("a"))
	c.Assert(x.Epoch, qt.Equals, ident.Epoch(2))
	var got []string
	for _, s := range x.Steps {
		got = append(got, string(s.Role)+" "+string(s.Event.Host)+" "+string(s.Event.Kind))
	}
	c.Assert(got, qt.DeepEquals, []string{
		"cause b join", "owner b claim",
		"cause c peer", "cause c vote", "cause d vote", "owner a takeover",
		"after a drain",
	})
	var b strings.Builder
	c.Assert(events.WriteExplanation(&b, x), qt.IsNil)
	c.Assert(b.String(), qt.Matches, `(?s)rounds-desk/17 is at a since epoch 2\n.*=> 2026-05-04T04:30:52.* takeover .*`)

	none := events.Why(sample(), ident.NewShard("rounds-desk", 512))
	c.Assert(none.Owner, qt.Equals, ident.Host(""))
	c.Assert(none.Steps, qt.HasLen, 0)
}

// The recorder overwrites old events, so the last change of owner can be missing
// from the time line. Guards against an explanation that then omits the owner,
// which the ownership table still knows.
func TestWhyNamesTheOwnerWhenTheChangeIsForgotten(t *testing.T) {
	tests := []struct {
		name  string
		owner ident.Incarnation
		want  string
	}{
		{"owned", ident.NewIncarnation("b", 7), "owned by b~7, by the table that a has read up to offset 812"},
		{"free", ident.Incarnation{}, "nobody owns it, by the table that a has read up to offset 812"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			x := events.Why(nil, ident.NewShard("rounds-desk", 512))
			x.Holder = &events.Holder{Owner: tt.owner, By: "a", Next: 812}
			var b strings.Builder
			c.Assert(events.WriteExplanation(&b, x), qt.IsNil)
			c.Assert(b.String(), qt.Equals, "rounds-desk/512: no change of owner is on the time line\n"+tt.want+"\n")
		})
	}
}

func TestWhyFollowsAMove(t *testing.T) {
	c := qt.New(t)
	receiver := ident.NewIncarnation("b", 1)
	slot := events.Event{Service: "s", First: 5, Last: 5}
	list := []events.Event{slot, slot, slot, slot}
	list[0].Host, list[0].Kind, list[0].Epoch = "a", events.KindClaim, 1
	list[1].Host, list[1].Kind, list[1].Member = "a", events.KindStop, receiver
	list[2].Host, list[2].Kind, list[2].Epoch, list[2].Member = "a", events.KindMove, 2, receiver
	list[3].Host, list[3].Kind, list[3].Epoch = "b", events.KindServe, 2
	x := events.Why(list, ident.NewShard("s", 5))
	c.Assert(x.Owner, qt.Equals, ident.Host("b"))
	c.Assert(x.Steps, qt.HasLen, 3)
}

func TestWriteJSON(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(events.WriteJSON(&b, sample()), qt.IsNil)
	var got []events.Event
	c.Assert(json.Unmarshal(b.Bytes(), &got), qt.IsNil)
	c.Assert(got, qt.DeepEquals, sample())
}

func TestPageIsWholeAndEscapes(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(events.WritePage(&b, "Loss of <b>", sample()), qt.IsNil)
	text := b.String()
	c.Assert(text, qt.Not(qt.Contains), "<silent>")
	c.Assert(text, qt.Contains, "Loss of &lt;b&gt;")
	c.Assert(text, qt.Not(qt.Contains), "http")
	c.Assert(strings.Count(text, `<g class="row `), qt.Equals, len(sample()))
	svg := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+len("</svg>")]
	for d := xml.NewDecoder(strings.NewReader(svg)); ; {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		c.Assert(err, qt.IsNil)
	}
	c.Assert(events.WritePage(&b, "Empty", nil), qt.IsNil)
}

func BenchmarkEmit(b *testing.B) {
	r := events.NewRecorder("a", events.NewClock(clockwork.NewRealClock()))
	e := events.Event{Kind: events.KindShed, Service: "rounds-desk", First: 3, Last: 9, Note: "queue is full"}
	b.ReportAllocs()
	for b.Loop() {
		r.Emit(e)
	}
}

func BenchmarkEmitLogged(b *testing.B) {
	r := events.NewRecorder("a", events.NewClock(clockwork.NewRealClock()), events.WithLogger(klog.New(io.Discard)))
	e := events.Event{Kind: events.KindShed, Service: "rounds-desk", First: 3, Last: 9, Note: "queue is full"}
	b.ReportAllocs()
	for b.Loop() {
		r.Emit(e)
	}
	b.ReportMetric(float64(r.Dropped())/float64(b.N), "lines-dropped/op")
	_ = r.Close()
}

// BenchmarkRing measures the heap memory of a full recorder.
func BenchmarkRing(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	kinds := []events.Kind{events.KindShed, events.KindVote}
	for b.Loop() {
		before := heap()
		r := events.NewRecorder("a", events.NewClock(clockwork.NewRealClock()))
		for i := range 4 * events.DefaultCapacity {
			r.Emit(events.Event{Kind: kinds[i%2], Service: "rounds-desk", Note: strings.Repeat(string(rune('a'+i%26)), events.MaxNoteBytes)})
		}
		b.ReportMetric(float64(heap()-before), "B/recorder")
		runtime.KeepAlive(r)
	}
}
