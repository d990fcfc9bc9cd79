package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lives is how often the endpoint starts again, and livesGap the time between two
	// starts.
	lives    = 72
	livesGap = 700 * time.Millisecond
)

// fences starts one endpoint again and again and then empties it, so that its keys go to
// another endpoint. That one must take them with a higher generation number.
func fences(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	a := t.newEndpoint(deskService, "dallas", true, answer(20*time.Millisecond, 100))
	b := t.newEndpoint(deskService, "houston", true, answer(20*time.Millisecond, 100))
	c := t.newEndpoint(hubService, "houston", false, answer(20*time.Millisecond, 100))

	var mu sync.Mutex
	var highest [65536]uint64
	var owner [65536]string
	broken := 0
	onGrant := func(e *endpoint, from, to, fence uint64) {
		mu.Lock()
		defer mu.Unlock()
		stale, by, above := 0, "", uint64(0)
		for key := from; key <= to; key++ {
			if owner[key] != "" && owner[key] != e.id && highest[key] >= fence {
				stale, by, above = stale+1, owner[key], highest[key]
			}
			if fence >= highest[key] {
				highest[key], owner[key] = fence, e.id
			}
		}
		t.note("%s takes keys %d to %d with generation %d", e.id, from, to, fence)
		if stale > 0 {
			broken++
			t.note("BROKEN: %d of these keys were held by %s with generation %d, which is not below", stale, by, above)
		}
	}
	for _, e := range []*endpoint{a, b, c} {
		e.onGrant = onGrant
	}
	da := t.start("sidecar-dallas-1", "dallas", deskService, a.addr)
	db := t.start("sidecar-houston-1", "houston", deskService, b.addr)
	dc := t.start("sidecar-houston-2", "houston", hubService, c.addr)
	a.control, b.control, c.control = da.control, db.control, dc.control
	a.begin("i-a000")
	b.begin("i-b000")
	c.begin("i-c000")
	t.await("all keys are held", 20*time.Second, func() bool { return a.count()+b.count() == 65536 })
	t.note("all keys are held: %d by %s, %d by %s", a.count(), a.id, b.count(), b.id)
	time.Sleep(2 * time.Second)
	if t.trouble {
		for i := 1; i <= lives; i++ {
			a.crash()
			a.begin(fmt.Sprintf("i-a%03d", i))
			time.Sleep(livesGap)
		}
	}
	t.await("the endpoint holds keys again", 20*time.Second, func() bool { return a.count() > 0 })
	time.Sleep(2 * time.Second)
	t.note("%s holds %d keys and reports that it is draining", a.id, a.count())
	a.mu.Lock()
	a.state = "draining"
	a.mu.Unlock()
	t.await("the other endpoint holds all keys", 20*time.Second, func() bool { return b.count() == 65536 })
	time.Sleep(time.Second)
	r := send(request{to: db.outbound, host: deskHost, method: "POST", path: "/write/1", key: 5, body: "x"})
	t.note("a request for key 5 is answered: %d %v", r.status, r.err)
	return broken > 0
}
