package owner_test

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// heartbeat sends the upstream's heartbeat when it is due and applies the
// answer.
func (w *simulation) heartbeat(d *daemon) {
	u := d.upstream
	if !u.up {
		if w.runs(d) && w.rng.IntN(10) == 0 {
			d.machine.UpstreamDown(w.now, true)
		}
		return
	}
	u.expire(w.now)
	if w.now.Before(u.nextHeartbeat) || !w.runs(d) {
		return
	}
	u.number++
	u.nextHeartbeat = w.now.Add(interval)
	hb := owner.Heartbeat{Life: u.life, ID: fmt.Sprint(u.life), Number: u.number, Released: u.released}
	for _, h := range u.holds {
		if !w.rules.hideHolds && !w.rules.byCalls {
			hb.Holds = append(hb.Holds, owner.Held{Span: h.span, Fence: h.fence})
		}
	}
	d.machine.Heartbeat(w.now, hb)
	g := d.machine.Grant(w.now)
	u.released = nil
	if !g.Known {
		return
	}
	w.grant(d, g)
}

func (u *upstream) expire(now time.Time) {
	kept := u.holds[:0]
	for _, h := range u.holds {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	u.holds = kept
}

// grant makes an upstream hold the granted ranges and release all others, the
// busy ones only once its work is done.
func (w *simulation) grant(d *daemon, g owner.Grant) {
	u := d.upstream
	clock := 1.02
	if w.rules.slowClocks {
		clock = 1.6
	}
	until := w.now.Add(time.Duration(float64(g.Hold) * clock))
	var spans []atlas.Span
	for _, r := range g.Rows {
		spans = append(spans, r.Span)
	}
	var kept []held
	for _, h := range u.holds {
		for _, gone := range atlas.Subtract([]atlas.Span{h.span}, spans) {
			if w.now.Before(u.busyUntil) || w.rules.hideHolds {
				// Current work ends first; until then the old hold stays and
				// expires by itself.
				kept = append(kept, held{span: gone, fence: h.fence, until: h.until})
				u.nextHeartbeat = w.now.Add(100 * time.Millisecond)
				continue
			}
			u.released = append(u.released, owner.Released{Span: gone, Token: fmt.Sprintf("t%d", u.number)})
			u.nextHeartbeat = w.now.Add(50 * time.Millisecond)
		}
	}
	for _, r := range g.Rows {
		kept = append(kept, held{span: r.Span, fence: r.Fence, until: until})
		w.checkFence(d, r)
	}
	u.holds = kept
	if w.rng.IntN(4) == 0 {
		u.busyUntil = w.now.Add(w.delay(400))
	}
}

// checkFence adds a violation if an upstream gets a key under a fencing token
// that is not higher than that of the previous holder.
func (w *simulation) checkFence(d *daemon, r holds.Range) {
	name := fmt.Sprintf("%s/%d", d.host, d.upstream.life)
	for _, p := range probes {
		if !r.Span.Contains(p) {
			continue
		}
		if w.holders[p] != name && r.Fence <= w.tokens[p] {
			w.addViolation("%s takes key %d under %d, %s had it under %d", name, p, r.Fence, w.holders[p], w.tokens[p])
		}
		w.tokens[p], w.holders[p] = max(w.tokens[p], r.Fence), name
	}
}
