package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// endpointRestart is how long an endpoint is down after a crash.
const endpointRestart = 2 * time.Second

// sameID has one request that crashes each endpoint that runs it come again and again, from
// a machine of another service. The disruption is that the endpoints start again under the id that they
// had; otherwise each boot has a new one.
func sameID(f *fleet, trouble bool) {
	j := &crashJudge{f: f}
	for range 2 {
		m := f.add("desk", false)
		m.endpoint.sameID = trouble
		m.endpoint.crashes = func(r *http.Request) bool { return strings.Contains(r.URL.Path, "/crash") }
		m.endpoint.onCrash = func(id string) {
			j.crashed(id)
			time.AfterFunc(endpointRestart, m.endpoint.start)
		}
	}
	front := f.add("front", false)
	f.configure(3, "desk", "front")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	for _, m := range f.machines {
		f.await(m.name+" is ready", 20*time.Second, m.ready)
	}
	time.Sleep(4 * time.Second)
	c := newClients(f)
	c.run(front, 3, http.MethodGet, "/desk/get/", 200*time.Millisecond)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(1500 * time.Millisecond) {
		c.send(client, front, http.MethodPost, "/desk/post/crash", 7, 4*time.Second)
	}
	c.end()
	j.judge()
}

// crashJudge counts the runs of the request that crashes endpoints.
type crashJudge struct {
	f    *fleet
	mu   sync.Mutex
	runs []time.Time
}

func (j *crashJudge) crashed(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, time.Now())
	j.f.log.add("request %s crashes an endpoint, the %d. time", id, len(j.runs))
}

// judge checks rule BUDGET: at most three runs later than contact after the third crash.
func (j *crashJudge) judge() {
	j.mu.Lock()
	defer j.mu.Unlock()
	late := 0
	for _, at := range j.runs {
		if len(j.runs) >= 3 && at.After(j.runs[2].Add(contactBound)) {
			late++
		}
	}
	j.f.log.add("%d crashes, %d of them later than %s after the third", len(j.runs), late, contactBound)
	if late > 3 {
		j.f.log.violation("BUDGET a request that crashes the endpoints that run it reached endpoints in %d retries later than %s after it had crashed the third", late, contactBound)
	}
}
