package main

import (
	"sync"
	"time"
)

// down is how long the killed daemon stays away.
const down = 4900 * time.Millisecond

// terms changes the heartbeat interval in the settings of all machines, and the daemons are
// stopped and started again in turn. Before its turn the last one
// is killed, and starts again after a while. Two endpoints
// must not hold the same keys.
func terms(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	a := t.newEndpoint(deskService, "dallas", true, answer(20*time.Millisecond, 100))
	b := t.newEndpoint(deskService, "houston", true, answer(20*time.Millisecond, 100))
	c := t.newEndpoint(hubService, "dallas", false, answer(20*time.Millisecond, 100))
	e := t.newEndpoint(hubService, "houston", false, answer(20*time.Millisecond, 100))
	for _, x := range []*endpoint{a, b} {
		x.onGrant = func(x *endpoint, from, to, fence uint64) {
			t.note("%s takes keys %d to %d with generation %d", x.id, from, to, fence)
		}
	}
	all := []*endpoint{a, b, c, e}
	for i, name := range []string{"sidecar-dallas-1", "sidecar-houston-1", "sidecar-dallas-2", "sidecar-houston-2"} {
		d := t.newDaemon(name, all[i].zone, all[i].service, all[i].addr)
		d.heartbeat = "4000ms"
		t.daemons = append(t.daemons, d)
		all[i].control = d.control
		d.start(true)
	}
	for i, id := range []string{"i-a", "i-b", "i-c", "i-d"} {
		all[i].setInterval(4 * time.Second)
		all[i].begin(id)
	}
	t.await("all keys are held", 20*time.Second, func() bool { return a.count()+b.count() == 65536 })
	time.Sleep(3 * time.Second)
	for i, d := range t.daemons[1:] {
		d.terminate()
		if t.trouble {
			d.heartbeat = "870ms"
			all[i+1].setInterval(870 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		d.start(false)
		time.Sleep(4 * time.Second)
	}
	t.await("all keys are held", 20*time.Second, func() bool { return a.count()+b.count() == 65536 && a.count() > 0 })
	t.note("%s holds %d keys, %s holds %d; the first daemon still has to be restarted", a.id, a.count(), b.id, b.count())

	var mu sync.Mutex
	longest, since, both := time.Duration(0), time.Time{}, 0
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			n := 0
			now := time.Now()
			a.mu.Lock()
			b.mu.Lock()
			for key := uint64(0); key < 65536; key += 64 {
				if a.holdsKey(key, now) && b.holdsKey(key, now) {
					n++
				}
			}
			b.mu.Unlock()
			a.mu.Unlock()
			mu.Lock()
			if n == 0 {
				since = time.Time{}
			} else {
				if since.IsZero() {
					since = now
					t.note("both endpoints hold %d of 1024 sampled keys", n)
				}
				longest, both = max(longest, now.Sub(since)), max(both, n)
			}
			mu.Unlock()
		}
	}()
	pings := a.acknowledged()
	t.await("a ping is acknowledged", 8*time.Second, func() bool { return a.acknowledged() > pings })
	d := t.daemons[0]
	d.kill()
	time.Sleep(down)
	if t.trouble {
		d.heartbeat = "870ms"
	}
	d.start(false)
	time.Sleep(10 * time.Second)
	close(stop)
	<-done
	t.note("longest time with keys held by both endpoints: %.3f s, %d of 1024 sampled keys", longest.Seconds(), both)
	if longest > 500*time.Millisecond {
		t.note("BROKEN: two endpoints that are up held the same keys for over half a second")
		return true
	}
	return false
}
