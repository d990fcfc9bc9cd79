package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the usual time between two pings.
	heartbeat = 870 * time.Millisecond
	// ackTime is how long an acknowledgement may take.
	ackTime = time.Second
)

// held is a range that an endpoint holds until a time.
type held struct {
	from, to, fence uint64
	until           time.Time
}

// work is what an endpoint does with a request that it runs.
type work func(w http.ResponseWriter, r *http.Request)

// endpoint is a stand-in of an application endpoint. It follows the platform's page:
// it holds the keys that the answers to its pings grant, releases what they leave out, and
// refuses requests for other keys.
type endpoint struct {
	t       *trial
	addr    string
	service string
	zone    string
	slots   int
	sharded bool
	// control is the address of the daemon that takes the pings.
	control string
	run     work
	// onGrant is called with each row that is taken for the first time.
	onGrant func(e *endpoint, from, to, fence uint64)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	holds    []held
	highest  [65536]uint64
	running  map[uint64]int
	released [][]any
	stop     chan struct{}
	server   *http.Server
	// interval is the time between two pings; acked counts those that were acknowledged.
	interval time.Duration
	acked    int
	// arrivals counts the requests that began to run.
	arrivals int
	// onRun is called when a request begins to run.
	onRun func(e *endpoint, r *http.Request)
}

// newEndpoint returns an endpoint that is not started yet.
func (t *trial) newEndpoint(service, zone string, sharded bool, run work) *endpoint {
	e := &endpoint{
		t: t, interval: heartbeat, addr: freeAddr(), service: service, zone: zone, slots: 18, sharded: sharded, run: run,
		onGrant: func(*endpoint, uint64, uint64, uint64) {}, onRun: func(*endpoint, *http.Request) {},
	}
	t.endpoints = append(t.endpoints, e)
	return e
}

// begin starts a new life, which holds and knows nothing of before.
func (e *endpoint) begin(id string) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp4", e.addr); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	must(err)
	e.mu.Lock()
	e.id, e.born, e.sequence, e.state = id, time.Now().UnixMilli(), 0, "ready"
	e.holds, e.released, e.running, e.highest = nil, nil, map[uint64]int{}, [65536]uint64{}
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	stop, server := e.stop, e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.ping(stop)
}

// crash ends the life: nothing is sent any more.
func (e *endpoint) crash() {
	e.mu.Lock()
	stop, server := e.stop, e.server
	e.holds = nil
	e.mu.Unlock()
	close(stop)
	_ = server.Close()
}

// ping sends pings until the life ends.
func (e *endpoint) ping(stop chan struct{}) {
	for {
		again := e.pingOnce(stop)
		e.mu.Lock()
		wait := e.interval
		e.mu.Unlock()
		if again {
			wait = 50 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// pingOnce sends one ping and applies the answer. It reports whether another one must follow
// at once, since the answer left out a range that is held.
func (e *endpoint) pingOnce(stop chan struct{}) bool {
	sent := time.Now()
	e.mu.Lock()
	e.sequence++
	rows := [][]any{}
	for _, h := range e.holds {
		if h.until.After(sent) {
			rows = append(rows, []any{h.from, h.to, h.fence})
		}
	}
	released := e.released
	if released == nil {
		released = [][]any{}
	}
	id := e.id
	body, err := json.Marshal(map[string]any{
		"address": e.addr, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "sequence": e.sequence, "warmup_left": "0ms"},
		"holds":  rows, "released": released,
	})
	e.mu.Unlock()
	must(err)
	status, data := e.call("/Instances.Heartbeat/"+id, body)
	if status != http.StatusOK || len(data) > 4096 {
		return false
	}
	var answer struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return false
	}
	select {
	case <-stop:
		return false
	default:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = nil
	e.acked++
	if answer.Holds == nil {
		return false
	}
	return e.apply(sent, *answer.Holds, answer.HoldTime)
}

// apply takes the grants in an answer. It is called with mu held.
func (e *endpoint) apply(sent time.Time, rows [][]any, holdTime string) (again bool) {
	hold, err := time.ParseDuration(holdTime)
	if err != nil {
		return false
	}
	var next []held
	for _, row := range rows {
		if len(row) < 3 {
			continue
		}
		h := held{from: number(row[0]), to: number(row[1]), fence: number(row[2]), until: sent.Add(hold)}
		if e.refuses(h) {
			continue
		}
		if !e.has(h) {
			e.onGrant(e, h.from, h.to, h.fence)
		}
		for key := h.from; key <= h.to; key++ {
			e.highest[key] = h.fence
		}
		next = append(next, h)
	}
	before := e.holds
	e.holds = next
	for _, h := range before {
		if !e.covers(h) {
			e.released = append(e.released, []any{h.from, h.to, fmt.Sprintf("%016x", h.fence)})
			again = true
		}
	}
	return again
}

// refuses reports whether a higher generation number was seen on a key of a row.
func (e *endpoint) refuses(h held) bool {
	for key := h.from; key <= h.to; key++ {
		if e.highest[key] > h.fence {
			return true
		}
	}
	return false
}

// has reports whether a row is held already.
func (e *endpoint) has(row held) bool {
	for _, h := range e.holds {
		if h.from <= row.from && h.to >= row.to && h.fence == row.fence {
			return true
		}
	}
	return false
}

// covers reports whether all keys of a row are held.
func (e *endpoint) covers(row held) bool {
	for key := row.from; key <= row.to; key++ {
		if !e.holdsKey(key, time.Time{}) {
			return false
		}
	}
	return true
}

// holdsKey reports whether a key is held at a time.
func (e *endpoint) holdsKey(key uint64, now time.Time) bool {
	for _, h := range e.holds {
		if h.from <= key && key <= h.to && h.until.After(now) {
			return true
		}
	}
	return false
}

// count returns the number of keys that are held now.
func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, h := range e.holds {
		if h.until.After(time.Now()) {
			n += int(h.to - h.from + 1)
		}
	}
	return n
}

// setInterval sets the time between two pings.
func (e *endpoint) setInterval(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interval = d
}

// arrived returns the number of requests that began to run.
func (e *endpoint) arrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// acknowledged returns the number of pings that were acknowledged.
func (e *endpoint) acknowledged() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acked
}

// leave sends the notice that the endpoint ends.
func (e *endpoint) leave() int {
	status, _ := e.call("/Instances.Deregister/"+e.id, []byte("{}"))
	return status
}

// call calls the daemon's control address.
func (e *endpoint) call(path string, body []byte) (int, []byte) {
	client := http.Client{Timeout: ackTime, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+e.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// serve answers a request as the platform's page says.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	key, err := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 32)
	heldNow := !e.sharded || (err == nil && e.holdsKey(key, time.Now()))
	e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Instance-Id", id)
	expect := r.Header.Get("X-Expect-Instance")
	if (expect != "" && expect != id) || !heldNow {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals++
	e.mu.Unlock()
	e.onRun(e, r)
	w.Header().Set("X-Response-Signature", "signed."+id)
	e.run(w, r)
}

// number converts a number of a JSON row.
func number(v any) uint64 {
	f, _ := v.(float64)
	return uint64(f)
}

// answer returns work that takes a time and answers with a body of n bytes.
func answer(d time.Duration, n int) work {
	body := strings.Repeat("x", n)
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = io.WriteString(w, body)
	}
}
