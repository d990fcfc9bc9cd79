package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// drainBound and contactBound are drain and contact in the settings.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// forgottenLeave has an endpoint leave that never reports that it is draining: it
// deregisters first, and goes on serving for twelve seconds. The disruption is that the
// daemon beside it is killed in this time and starts again.
func forgottenLeave(f *fleet, trouble bool) {
	for range 3 {
		m := f.add("carrier", false)
		m.endpoint.work = func(*http.Request) time.Duration { return 100*time.Millisecond + rand.N(400*time.Millisecond) }
	}
	f.configure(3, "carrier")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	for _, m := range f.machines {
		f.await(m.name+" is ready", 20*time.Second, m.ready)
	}
	c := newClients(f)
	for _, m := range f.machines[1:] {
		c.run(m, 6, http.MethodPost, "/carrier/post/", 80*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	leaver := f.machines[0]
	if !leaver.endpoint.current().deregister() {
		unable("the leaving was not acknowledged")
	}
	acked := time.Now()
	f.log.add("the leaving of e1 is acknowledged")
	bound := acked.Add(drainBound)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		leaver.kill()
		time.Sleep(500 * time.Millisecond)
		leaver.start()
		f.await(leaver.name+" is ready again", 10*time.Second, leaver.ready)
		// Requests count only while the daemon that sends them on is in touch.
		if inTouch := time.Now().Add(contactBound); inTouch.After(bound) {
			bound = inTouch
		}
	}
	leaver.endpoint.judgeFrom(bound, func(id string) {
		f.log.violation("DRAIN request %s reaches e1 %.3f s after its leaving was acknowledged; the bound is %s", id,
			time.Since(acked).Seconds(), drainBound)
	})
	time.Sleep(time.Until(acked.Add(12 * time.Second)))
	f.log.add("%d requests run at e1 when it ends", leaver.endpoint.current().work())
	leaver.endpoint.crash()
	time.Sleep(time.Second)
	c.end()
}
