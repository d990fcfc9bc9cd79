package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// endpointRestart is how long an endpoint is down after a crash.
	endpointRestart = 2 * time.Second
	// recoveryBound is recovery in the settings.
	recoveryBound = 15 * time.Second
	// popularPages is the number of different requests of the clients.
	popularPages = 2
)

// popularPagesLost has all clients read a few pages, and a request that crashes endpoints come three
// times. The disruption is that all daemons are killed just before that and start again.
func popularPagesLost(f *fleet, trouble bool) {
	for range 3 {
		m := f.add("desk", false)
		m.endpoint.work = func(*http.Request) time.Duration { return 2500 * time.Millisecond }
		m.endpoint.crashes = func(r *http.Request) bool { return strings.Contains(r.URL.Path, "/crash") }
		m.endpoint.onCrash = func(id string) {
			f.log.add("request %s crashes %s", id, m.endpoint.name)
			time.AfterFunc(endpointRestart, m.endpoint.start)
		}
	}
	f.configure(3, "desk")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	ready := func() bool {
		for _, m := range f.machines {
			if !m.ready() {
				return false
			}
		}
		return true
	}
	f.await("all machines are ready", 20*time.Second, ready)
	time.Sleep(2 * time.Second)
	p := &pages{f: f, stop: make(chan struct{})}
	for _, m := range f.machines {
		for i := range 5 {
			p.read(m, i)
		}
	}
	time.Sleep(8 * time.Second)
	before := p.take()
	if trouble {
		for _, m := range f.machines {
			m.signal(9)
		}
		time.Sleep(1100 * time.Millisecond)
		for _, m := range f.machines {
			m.start()
		}
	}
	f.await("the machines are back", 10*time.Second, ready)
	back := time.Now()
	crash := newClients(f)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	time.Sleep(1200 * time.Millisecond)
	for i := range 12 {
		go crash.send(client, f.machines[i%3], http.MethodPost, "/desk/post/crash", 7, 4*time.Second)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(time.Until(back.Add(recoveryBound)))
	p.take()
	time.Sleep(15 * time.Second)
	after := p.take()
	close(p.stop)
	p.done.Wait()
	f.log.add("served before %d of %d, later than %s after the machines were back %d of %d", before.served, before.sent, recoveryBound, after.served, after.sent)
	if before.served*4 >= before.sent && after.served*4 < after.sent {
		f.log.violation("RECOVER %d of %d requests sent later than %s after the machines were back were served, %d of %d before",
			after.served, after.sent, recoveryBound, before.served, before.sent)
	}
}

// pages counts the requests of clients that read pages.
type pages struct {
	f     *fleet
	stop  chan struct{}
	done  sync.WaitGroup
	mu    sync.Mutex
	count pageCount
	sent  int
}

type pageCount struct{ sent, served int }

// take returns the counts since the last call.
func (p *pages) take() pageCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.count
	p.count = pageCount{}
	return c
}

// read starts a client of a machine that reads one page again and again.
func (p *pages) read(m *machine, n int) {
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
		for {
			select {
			case <-p.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			p.mu.Lock()
			p.sent++
			id := fmt.Sprintf("p%06d", p.sent)
			p.mu.Unlock()
			status, after := p.get(client, m, id, n%popularPages)
			p.f.log.add("request %s of page %d at %s answered %d", id, n%popularPages, m.name, status)
			p.mu.Lock()
			p.count.sent++
			if status == http.StatusOK {
				p.count.served++
			}
			p.mu.Unlock()
			select {
			case <-p.stop:
				return
			case <-time.After(after):
			}
		}
	}()
}

// get reads a page and returns the status and the time to wait, which a refusal tells.
func (p *pages) get(client *http.Client, m *machine, id string, page int) (int, time.Duration) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/desk/get/%d", m.outbound(), page), nil)
	must(err, "create request")
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Timeout-Remaining", "4000")
	response, err := client.Do(r)
	if err != nil {
		return 0, 0
	}
	_ = response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
