package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// grace is the bound grace of the settings.
	grace = 6 * time.Second
	// rollGap is the time between the stops of two machines.
	rollGap = time.Second
	// probeLead is how long before a stop the daemons were last asked whether they are
	// ready.
	probeLead = 100 * time.Millisecond
	// rollWork is how long the endpoint works on a request.
	rollWork = 150 * time.Millisecond
	// rollClients is the number of clients of each machine.
	rollClients = 6
	// rollTime is how long clients send after the first stop.
	rollTime = 15 * time.Second
)

const rolledRoutes = `{"name":"r-change","path_prefix":"/change/","kind":"non_idempotent","timeout":"1500ms","target_latency":"400ms",` +
	`"priority":1,"service":"desk","max_attempts":2},{"name":"r-photo","path_prefix":"/photo/","kind":"idempotent",` +
	`"timeout":"1500ms","target_latency":"400ms","priority":1,"service":"carrier","max_attempts":2}`

// roll is the state of a case in which daemons are stopped and started in turn.
type roll struct {
	f *fleet

	mu sync.Mutex
	// terms holds the time of the SIGTERM of each process that has not ended yet.
	terms map[*daemon]time.Time
	// out holds the machines whose clients get no work, after two misses in a row.
	out map[*daemon]bool
	// cut holds the requests at which the endpoint was at work when its connection closed.
	cut      map[string]bool
	failures []failure
}

// handle runs a request for rollWork if its key is held. No key leaves the endpoint in
// this case.
func (r *roll) handle(e *endpoint, w http.ResponseWriter, q *http.Request) {
	if e.keys == nil {
		answer(w, q, []byte("ok"))
		return
	}
	// The end of a connection is noticed once the body has been read.
	_, _ = io.Copy(io.Discard, q.Body)
	if !e.keys.holdsKey(q.Header.Get("X-Shard-Key")) {
		refuseKey(w)
		return
	}
	select {
	case <-time.After(rollWork):
		answer(w, q, []byte("ok"))
	case <-q.Context().Done():
		id := q.Header.Get("X-Attempt-Id")
		r.mu.Lock()
		r.cut[id] = true
		r.mu.Unlock()
		r.f.record.add("%s is cut off at endpoint %s, which is at work on it", id, e.name)
		panic(http.ErrAbortHandler)
	}
}

// probe asks a daemon once a second whether it is ready.
func (r *roll) probe(ctx context.Context, d *daemon) {
	misses := 0
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if d.isReady() {
			misses = 0
		} else {
			misses++
		}
		r.mu.Lock()
		r.out[d] = misses >= 2
		r.mu.Unlock()
	}
}

// takesWork reports whether the clients of a machine get work.
func (r *roll) takesWork(d *daemon) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.out[d]
}

// failure is a request of a machine that had got SIGTERM and that no endpoint answered.
type failure struct {
	d              *daemon
	term           time.Time
	sent, answered time.Time
	res            result
}

// note keeps a result if the rule may count it.
func (r *roll) note(d *daemon, sent time.Time, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	term, stopped := r.terms[d]
	if stopped && !res.signed && sent.After(term) {
		r.failures = append(r.failures, failure{d: d, term: term, sent: sent, answered: time.Now(), res: res})
	}
}

// judge counts the requests that were given up at which the endpoint was at work, unless
// the rule excuses them.
func (r *roll) judge() (lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.failures {
		if !r.cut[x.res.id] || x.answered.After(x.term.Add(grace+time.Second)) || x.res.took > 1300*time.Millisecond {
			continue
		}
		excused := x.answered.After(x.term.Add(grace*5/6)) && x.sent.Before(x.term.Add(3*time.Second))
		if !excused {
			lost++
		}
		r.f.record.add("given up: %s at %s, sent %.3f s and answered %.3f s after the machine's SIGTERM; excused: %v",
			x.res.id, x.d.name, x.sent.Sub(x.term).Seconds(), x.answered.Sub(x.term).Seconds(), excused)
	}
	return lost
}

// sendFrom sends requests that may run once at most from one client of a machine.
func (r *roll) sendFrom(d *daemon, end time.Time) {
	for time.Now().Before(end) {
		if !r.takesWork(d) {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		sent := time.Now()
		res := r.f.send(ctx, d, request{
			method: http.MethodPost, path: "/change/x", body: "pause", timeout: 1500 * time.Millisecond, key: fmt.Sprint(rand.IntN(keySpace)),
		})
		cancel()
		r.f.record.add("client of %s gets %s", d.name, res)
		r.note(d, sent, res)
		if res.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// stop stops a daemon as planned and starts it again.
func (r *roll) stop(d *daemon) {
	r.mu.Lock()
	r.terms[d] = time.Now()
	r.mu.Unlock()
	d.stop()
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	delete(r.terms, d)
	r.mu.Unlock()
	d.start(r.f.root, r.f.dir)
}

// playRolled stops and starts the daemons in turn, first the one beside the only endpoint
// of a service that is divided by key.
func playRolled(f *fleet) (string, error) {
	r := &roll{f: f, terms: make(map[*daemon]time.Time), out: make(map[*daemon]bool), cut: make(map[string]bool)}
	zones := []string{"dallas", "houston", "san-antonio"}
	for i := range 5 {
		service := "carrier"
		if i == 0 {
			service = "desk"
		}
		f.addHost(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+1), zones[i%3], service, r.handle)
		f.endpoints[i].keyed = i == 0
	}
	if err := f.start(keyedConfig(rolledRoutes), "/photo/x"); err != nil {
		return "", err
	}
	time.Sleep(contact + 2*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	end := time.Now().Add(rollTime)
	var clients, stops sync.WaitGroup
	for _, d := range f.daemons {
		go r.probe(ctx, d)
		for range rollClients {
			clients.Go(func() { r.sendFrom(d, end) })
		}
	}
	if f.trouble {
		time.Sleep(time.Second + probeLead)
		ticker := time.NewTicker(rollGap)
		defer ticker.Stop()
		for _, d := range f.daemons {
			stops.Go(func() { r.stop(d) })
			<-ticker.C
		}
	}
	clients.Wait()
	stops.Wait()
	lost := r.judge()
	f.record.add("%d requests, which may run once at most, were given up at which the endpoint was at work", lost)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests of machines that had got SIGTERM were given up at which their endpoint was at work", lost), nil
	}
	return "", nil
}
