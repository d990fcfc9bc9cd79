package owner_test

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
)

// callTimeout is how long a daemon waits for the answer to a grant.
const callTimeout = 100 * time.Millisecond

// keyCall is a grant or release on its way from a daemon to the upstream beside it.
type keyCall struct {
	from *daemon
	boot uint64
	// life is the life of the upstream that the call is for: another one refuses it.
	life string
	cmd  holds.Command
	// arrives is when the upstream receives the call, applies the earliest time at
	// which it is carried out, and gaveUp when a daemon that gets no answer stops
	// waiting.
	arrives, applies, gaveUp time.Time
	// lost is set for a call whose answer is lost; it is carried out late.
	lost     bool
	applied  bool
	reported bool
	outcome  holds.Outcome
	token    string
}

// sendCommands sends the calls of a daemon that are due to the upstream beside it.
func (w *simulation) sendCommands(d *daemon) {
	life, _, _ := d.machine.Upstream()
	for _, cmd := range d.machine.Commands(w.now) {
		k := &keyCall{from: d, boot: d.boot, life: life, cmd: cmd, arrives: w.now.Add(w.delay(15))}
		k.applies, k.gaveUp = k.arrives, w.now.Add(callTimeout)
		if !w.lossless && w.rng.IntN(8) == 0 {
			k.lost, k.applies = true, k.arrives.Add(w.delay(3000))
		}
		w.calls = append(w.calls, k)
	}
}

// runCalls carries out the calls that have reached their upstreams and reports the
// outcomes to the daemons.
func (w *simulation) runCalls() {
	var left []*keyCall
	for _, k := range w.calls {
		if !k.applied && !w.now.Before(k.applies) {
			w.carryOut(k)
		}
		if !k.reported {
			w.report(k)
		}
		if !k.applied || !k.reported {
			left = append(left, k)
		}
	}
	w.calls = left
}

// carryOut carries out one call, unless it is a release that still waits for running
// work.
func (w *simulation) carryOut(k *keyCall) {
	u := k.from.upstream
	switch {
	case !u.up || fmt.Sprint(u.life) != k.life:
		k.applied, k.outcome = true, holds.Unsent
	case k.cmd.Kind == holds.Grant:
		k.applied, k.outcome = true, w.applyGrant(k, u)
	case !w.now.Before(u.busyUntil) || k.lost:
		k.applied, k.outcome, k.token = true, holds.Accepted, fmt.Sprintf("t%d", w.now.UnixMilli())
		u.drop(k.cmd.Range)
	}
}

// applyGrant makes an upstream hold a range, for a time that counts from the arrival
// of the call.
func (w *simulation) applyGrant(k *keyCall, u *upstream) holds.Outcome {
	r := k.cmd.Range
	for span, fence := range u.highest {
		if span.Overlaps(r.Span) && fence > r.Fence {
			return holds.Refused
		}
	}
	u.highest[r.Span] = max(u.highest[r.Span], r.Fence)
	clock := 1.02
	if w.rules.slowClocks {
		clock = 1.6
	}
	since := k.arrives
	if w.rules.lateHolds {
		since = w.now
	}
	until := since.Add(time.Duration(float64(k.cmd.Hold) * clock))
	if !w.now.Before(until) {
		return holds.Accepted
	}
	for _, h := range u.holds {
		if h.fence == r.Fence && h.span == r.Span && h.until.After(until) {
			until = h.until
		}
	}
	u.cut(r.Span)
	u.holds = append(u.holds, held{span: r.Span, fence: r.Fence, until: until})
	w.checkFence(k.from, r)
	if w.rng.IntN(8) == 0 {
		u.busyUntil = w.now.Add(w.delay(400))
	}
	return holds.Accepted
}

// drop makes an upstream give up a range that it holds under the fencing token.
func (u *upstream) drop(r holds.Range) {
	var kept []held
	for _, h := range u.holds {
		if h.fence != r.Fence {
			kept = append(kept, h)
			continue
		}
		for _, span := range atlas.Subtract([]atlas.Span{h.span}, []atlas.Span{r.Span}) {
			kept = append(kept, held{span: span, fence: h.fence, until: h.until})
		}
	}
	u.holds = kept
}

// cut removes a range from all that an upstream holds.
func (u *upstream) cut(span atlas.Span) {
	var kept []held
	for _, h := range u.holds {
		for _, rest := range atlas.Subtract([]atlas.Span{h.span}, []atlas.Span{span}) {
			kept = append(kept, held{span: rest, fence: h.fence, until: h.until})
		}
	}
	u.holds = kept
}

// report tells the daemon that made a call its outcome, once that is known.
func (w *simulation) report(k *keyCall) {
	d := k.from
	if d.boot != k.boot || !d.up {
		k.reported = true
		return
	}
	outcome, token := k.outcome, k.token
	switch {
	case !w.runs(d):
		return
	case k.lost && w.now.Before(k.gaveUp):
		return
	case k.lost:
		outcome, token = holds.Unanswered, ""
	case !k.applied:
		return
	}
	k.reported = true
	if life, _, _ := d.machine.Upstream(); life != k.life {
		return
	}
	d.machine.RecordCommand(w.now, k.cmd, outcome, token)
	if outcome == holds.Unsent {
		d.machine.UpstreamDown(w.now, true)
	}
}
