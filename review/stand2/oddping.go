package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// oddPing empties endpoints of a service that is divided by key, one after the other, while
// requests run there. The disruption is one ping of another writer about each of them, 0.25 s
// after its own first ping as draining was acknowledged, in which the fields holds and
// released are missing.
func oddPing(f *fleet, trouble bool) {
	for range 4 {
		m := f.add("rounds", true)
		m.endpoint.work = func(*http.Request) time.Duration { return 400*time.Millisecond + rand.N(480*time.Millisecond) }
	}
	f.configure(3, "rounds")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	f.await("every key is held", 20*time.Second, f.allHeld)
	c := newClients(f)
	for _, m := range f.machines {
		c.run(m, 6, http.MethodPost, "/rounds/post/", 60*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for _, m := range f.machines[:2] {
		l := m.endpoint.current()
		m.endpoint.leave()
		f.await("draining of "+m.endpoint.name+" acknowledged", 4*time.Second, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.acked
		})
		if trouble {
			time.Sleep(250 * time.Millisecond)
			l.oddPing()
		}
		time.Sleep(5 * time.Second)
	}
	c.end()
}

// oddPing sends a ping of another writer about this boot: the newest ping with the next
// sequence number, without the fields holds and released.
func (l *life) oddPing() {
	l.mu.Lock()
	m := l.message()
	delete(m, "holds")
	delete(m, "released")
	m["status"] = map[string]any{"state": l.state, "sequence": l.sequence + 1, "warmup_left": "0ms"}
	data, err := json.Marshal(m)
	l.mu.Unlock()
	must(err, "encode ping")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	l.e.fleet.log.add("ping of another writer about %s: %s", l.e.name, data)
	response, err := client.Post("http://"+l.e.control+"/Instances.Heartbeat/"+l.id, "application/json", bytes.NewReader(data))
	if err != nil {
		return
	}
	l.e.fleet.log.add("it was answered %d", response.StatusCode)
	_ = response.Body.Close()
}
