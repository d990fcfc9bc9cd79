package main

import (
	"net/http"
	"sync"
	"time"
)

// departed lets an endpoint give notice that it ends, and starts the daemon beside it
// again while it goes on serving. Later than the drain time, nothing may reach it.
func departed(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	h1 := t.newEndpoint(hubService, "dallas", false, answer(600*time.Millisecond, 100))
	h2 := t.newEndpoint(hubService, "dallas", false, answer(600*time.Millisecond, 100))
	d1 := t.start("sidecar-dallas-1", "dallas", hubService, h1.addr)
	d2 := t.start("sidecar-dallas-2", "dallas", hubService, h2.addr)
	h1.control, h2.control = d1.control, d2.control
	h1.begin("i-leaver")
	h2.begin("i-stayer")

	const drain = 2 * time.Second
	var mu sync.Mutex
	var left time.Time
	late := 0
	ranAt := map[string]string{}
	h2.onRun = func(_ *endpoint, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[r.Header.Get("X-Attempt-Id")] = h2.id
	}
	h1.onRun = func(_ *endpoint, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[r.Header.Get("X-Attempt-Id")] = h1.id
		now := time.Now()
		if left.IsZero() || now.Sub(left) <= drain || now.Sub(d1.startedAt) <= contact {
			return
		}
		late++
		if late <= 20 {
			t.note("BROKEN: request %s reaches %s %.3f s after the acknowledgement, %.3f s after the start of the daemon",
				r.Header.Get("X-Attempt-Id"), h1.id, now.Sub(left).Seconds(), now.Sub(d1.startedAt).Seconds())
		}
	}
	for _, d := range []*daemon{d1, d2} {
		t.await("requests are served", 20*time.Second, func() bool {
			return send(request{to: d.outbound, host: hubHost, method: "GET", path: "/read/1", key: -1}).status == http.StatusOK
		})
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	lost, cut := 0, 0
	for range 30 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				r := send(request{to: d2.outbound, host: hubHost, method: "POST", path: "/write/1", key: -1, body: "x"})
				if r.err == nil && (r.status == http.StatusOK || r.status == http.StatusServiceUnavailable) {
					continue
				}
				mu.Lock()
				lost++
				if ranAt[r.id] == h1.id {
					cut++
				}
				t.note("request %s, sent to %s, run by %q: status %d, %v", r.id, d2.name, ranAt[r.id], r.status, r.err)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	status := h1.leave()
	mu.Lock()
	left = time.Now()
	mu.Unlock()
	t.note("%s gives notice that it ends, and goes on serving; the answer is %d", h1.id, status)
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		d1.kill()
		time.Sleep(300 * time.Millisecond)
		d1.start(false)
	}
	time.Sleep(12 * time.Second)
	t.note("%s ends", h1.id)
	h1.crash()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	t.note("%d requests reached the leaving endpoint too late; %d requests were accepted and got no success, %d of them run by it", late, lost, cut)
	return late > 0
}
