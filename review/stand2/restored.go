package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// restoredStore replaces the endpoints of a service that is divided by key, one after the
// other. Then all daemons are killed at once and start again. The disruption is that the
// store was away for a second before that and came back from a copy that is some seconds old.
func restoredStore(f *fleet, trouble bool) {
	for range 4 {
		m := f.add("rounds", true)
		m.endpoint.work = func(*http.Request) time.Duration { return 50*time.Millisecond + rand.N(100*time.Millisecond) }
	}
	f.configure(3, "rounds")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	f.await("every key is held", 20*time.Second, f.allHeld)
	c := newClients(f)
	for _, m := range f.machines {
		c.run(m, 4, http.MethodPost, "/rounds/post/", 100*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	old := f.store.copyTopics()
	f.log.add("a copy of the store is made: table.rounds ends at %d", len(old["keyed.table.rounds"]))
	copied := time.Now()
	var replaced sync.WaitGroup
	for _, m := range f.machines[:3] {
		replaced.Go(m.replaceEndpoint)
		time.Sleep(1500 * time.Millisecond)
	}
	replaced.Wait()
	f.log.add("table.rounds ends at %d", f.store.end("keyed.table.rounds"))
	if trouble {
		f.store.setDown(true)
		f.log.add("the store is away")
		time.Sleep(time.Second)
		f.store.restore(old)
		f.store.setDown(false)
		f.log.add("the store is back from the copy of %.1f s ago: table.rounds ends at %d",
			time.Since(copied).Seconds(), f.store.end("keyed.table.rounds"))
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	for _, m := range f.machines {
		m.signal(9)
	}
	time.Sleep(600 * time.Millisecond)
	for _, m := range f.machines {
		m.start()
	}
	time.Sleep(20 * time.Second)
	f.log.add("every key is held: %v", f.allHeld())
	c.end()
}

// replaceEndpoint drains the endpoint, ends it, and starts a new boot.
func (m *machine) replaceEndpoint() {
	e := m.endpoint
	l := e.current()
	e.leave()
	if !m.fleet.waitFor(4*time.Second, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.acked }) {
		m.fleet.log.add("draining of %s not acknowledged", e.name)
	}
	time.Sleep(2200 * time.Millisecond)
	l.deregister()
	e.crash()
	time.Sleep(200 * time.Millisecond)
	e.start()
}
