package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a stand-in for an application endpoint of the platform's pages. It takes its
// keys from the answers to its pings, holds them for the hold time counted from the sending of
// the ping, runs a request only while it holds its key, and releases what is left out
// once no request runs there.
type endpoint struct {
	fleet   *fleet
	name    string
	service string
	zone    string
	addr    string
	control string
	slots   int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// body returns the body of the answer.
	body    func(r *http.Request) []byte
	sharded bool
	// crashes tells whether a request crashes the endpoint, and onCrash is called then.
	crashes func(r *http.Request) bool
	onCrash func(id string)

	server *http.Server

	mu   sync.Mutex
	life *life
}

// life is one boot of an endpoint.
type life struct {
	e    *endpoint
	id   string
	born int64
	done chan struct{}

	mu       sync.Mutex
	up       bool
	state    string
	sequence int
	rows     []row
	released []any
	running  map[uint32]int
	highest  []uint64
	acked    bool
}

// row is a held range. A row that is being released is kept until its work has ended.
type row struct {
	from, to  uint32
	fence     uint64
	until     time.Time
	releasing bool
}

func (e *endpoint) listen() {
	l, err := net.Listen("tcp4", e.addr)
	must(err, "listen for endpoint")
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
}

// start begins a new boot.
func (e *endpoint) start() {
	e.listen()
	born := time.Now().UnixMilli()
	l := &life{
		e: e, id: fmt.Sprintf("i-%s-%d", e.name, born), born: born, up: true, state: "ready",
		done: make(chan struct{}), running: map[uint32]int{}, highest: make([]uint64, 1<<16),
	}
	e.mu.Lock()
	e.life = l
	e.mu.Unlock()
	e.fleet.log.add("endpoint %s starts as %s", e.name, l.id)
	go l.beat()
}

// crash ends the boot at once.
func (e *endpoint) crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.up = false
	l.mu.Unlock()
	close(l.done)
	_ = e.server.Close()
	e.fleet.log.add("endpoint %s ended", e.name)
}

func (e *endpoint) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// leave makes the endpoint report that it is draining.
func (e *endpoint) leave() {
	l := e.current()
	l.mu.Lock()
	l.state = "draining"
	l.mu.Unlock()
	e.fleet.log.add("endpoint %s drains", e.name)
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := e.current()
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Instance-Id", l.id)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	refuse := func() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
		refuse()
		return
	}
	var key uint64
	if e.sharded {
		if key, err = strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16); err != nil {
			refuse()
			return
		}
	}
	fence, until, ok := l.begin(uint32(key))
	if !ok {
		refuse()
		return
	}
	e.fleet.log.add("run %s at %s key %d fence %d begins", id, e.name, key, fence)
	if e.crashes != nil && e.crashes(r) {
		e.crash()
		e.onCrash(id)
		panic(http.ErrAbortHandler)
	}
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	if !e.sharded {
		late.Stop()
	}
	work := time.NewTimer(e.work(r))
	defer work.Stop()
	status := http.StatusOK
	select {
	case <-work.C:
	case <-late.C:
		status = http.StatusInternalServerError
	case <-r.Context().Done():
	case <-l.done:
		panic(http.ErrAbortHandler)
	}
	l.end(uint32(key))
	e.fleet.log.add("run %s at %s ends with %d", id, e.name, status)
	w.Header().Set("X-Response-Signature", l.id+"."+id)
	answer := []byte(id + " " + r.URL.RequestURI() + " " + strconv.Itoa(len(body)))
	if e.body != nil {
		answer = e.body(r)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// begin starts a request if the endpoint holds its key.
func (l *life) begin(key uint32) (fence uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return 0, until, false
	}
	if !l.e.sharded {
		l.running[key]++
		return 0, until, true
	}
	now := time.Now()
	for _, r := range l.rows {
		if r.from <= key && key <= r.to && now.Before(r.until) && !r.releasing {
			l.running[key]++
			return r.fence, r.until, true
		}
	}
	return 0, until, false
}

func (l *life) end(key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[key]--; l.running[key] <= 0 {
		delete(l.running, key)
	}
	l.settle()
}

func (l *life) busy(r row) bool {
	for key := range l.running {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

// settle drops rows whose hold is over and releases those that were left out, unless a
// request still runs there. The caller holds mu.
func (l *life) settle() {
	kept := l.rows[:0]
	for _, r := range l.rows {
		switch {
		case l.busy(r):
		case r.releasing && time.Now().Before(r.until):
			l.released = append(l.released, []any{r.from, r.to, fmt.Sprintf("%08x%08x", r.fence, r.from)})
			l.e.fleet.log.add("endpoint %s released %d-%d fence %d", l.e.name, r.from, r.to, r.fence)
			continue
		case !time.Now().Before(r.until):
			l.e.fleet.log.add("hold of %s on %d-%d fence %d is over", l.e.name, r.from, r.to, r.fence)
			continue
		}
		kept = append(kept, r)
	}
	l.rows = kept
}

// beat sends pings, every 100 ms while something is being released.
func (l *life) beat() {
	for {
		l.ping()
		pause := l.e.fleet.heartbeat
		l.mu.Lock()
		for _, r := range l.rows {
			if r.releasing {
				pause = 90 * time.Millisecond
			}
		}
		if len(l.released) > 0 {
			pause = 90 * time.Millisecond
		}
		l.mu.Unlock()
		select {
		case <-l.done:
			return
		case <-time.After(pause):
		}
	}
}

// message returns the body of the next ping.
func (l *life) message() map[string]any {
	holds := [][]any{}
	for _, r := range l.rows {
		holds = append(holds, []any{r.from, r.to, r.fence})
	}
	return map[string]any{
		"address": l.e.addr, "born": l.born, "holds": holds, "released": append([]any{}, l.released...),
		"info":   map[string]any{"service": l.e.service, "version": "v1", "zone": l.e.zone, "slots": l.e.slots},
		"status": map[string]any{"state": l.state, "sequence": l.sequence, "warmup_left": "0ms"},
	}
}

func (l *life) ping() {
	l.mu.Lock()
	l.sequence++
	l.settle()
	reported, state := len(l.released), l.state
	data, err := json.Marshal(l.message())
	l.mu.Unlock()
	must(err, "encode ping")
	sent := time.Now()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+l.e.control+"/Instances.Heartbeat/"+l.id, "application/json", bytes.NewReader(data))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || len(answer) > 4<<10 {
		return
	}
	var grant struct {
		Holds *[][]any `json:"holds"`
		Time  string   `json:"hold_time"`
	}
	if err := json.Unmarshal(answer, &grant); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return
	}
	if state == "draining" {
		l.acked = true
	}
	l.released = l.released[reported:]
	if grant.Holds == nil {
		return
	}
	hold := time.Duration(0)
	if len(*grant.Holds) > 0 {
		if hold, err = time.ParseDuration(grant.Time); err != nil {
			return
		}
	}
	l.take(*grant.Holds, sent.Add(hold))
}

// take applies the rows of an answer. The caller holds mu.
func (l *life) take(rows [][]any, until time.Time) {
	var next []row
	for _, g := range rows {
		n := row{from: uint32(g[0].(float64)), to: uint32(g[1].(float64)), fence: uint64(g[2].(float64)), until: until}
		stale := false
		for key := n.from; key <= n.to; key++ {
			stale = stale || l.highest[key] > n.fence
		}
		if stale {
			l.e.fleet.log.add("endpoint %s refuses %d-%d fence %d: it has seen a higher one", l.e.name, n.from, n.to, n.fence)
			continue
		}
		known := false
		for _, r := range l.rows {
			known = known || (r.fence == n.fence && r.from <= n.from && r.to >= n.to && !r.releasing)
		}
		if !known {
			l.e.fleet.log.add("endpoint %s takes %d-%d fence %d until +%.3f s", l.e.name, n.from, n.to, n.fence, time.Until(until).Seconds())
			l.e.fleet.judgeGrant(l.e, n)
		}
		for key := n.from; key <= n.to; key++ {
			l.highest[key] = n.fence
		}
		next = append(next, n)
	}
	for _, r := range l.rows {
		for _, rest := range subtract(r, next) {
			rest.releasing = true
			next = append(next, rest)
		}
	}
	l.rows = next
	l.settle()
}

// subtract returns the parts of a row that no granted row covers.
func subtract(r row, granted []row) []row {
	rest := []row{r}
	for _, g := range granted {
		if g.releasing {
			continue
		}
		var left []row
		for _, p := range rest {
			if g.to < p.from || g.from > p.to {
				left = append(left, p)
				continue
			}
			if p.from < g.from {
				q := p
				q.to = g.from - 1
				left = append(left, q)
			}
			if p.to > g.to {
				q := p
				q.from = g.to + 1
				left = append(left, q)
			}
		}
		rest = left
	}
	return rest
}

// deregister says that the boot ends, and reports whether that was acknowledged.
func (l *life) deregister() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+l.e.control+"/Instances.Deregister/"+l.id, "application/json", nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
