package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the interval of the endpoints' heartbeats.
	heartbeatInterval = 870 * time.Millisecond
	// releaseInterval is the interval after keys were released.
	releaseInterval = 100 * time.Millisecond
)

// endpoint is a stand-in for an application endpoint.
type endpoint struct {
	name, service, zone string
	addr, control       string
	// handle runs a request that is meant for this endpoint.
	handle func(e *endpoint, w http.ResponseWriter, r *http.Request)
	record *record

	mu     sync.Mutex
	id     string
	up     bool
	server *http.Server
	ended  chan struct{}
	// born, sequence and paused belong to the heartbeats of the present life.
	born     int64
	sequence int
	paused   bool
	// keyed is set for a service that is divided by key; keys are those of the present
	// life.
	keyed bool
	keys  *keyHolder
}

// start begins a new life of the endpoint under the given id.
func (e *endpoint) start(id string) error {
	l, err := net.Listen("tcp4", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.up, e.ended = id, true, make(chan struct{})
	e.born, e.sequence, e.paused = time.Now().UnixMilli(), 0, false
	if e.keyed {
		e.keys = &keyHolder{}
	}
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.sendHeartbeats(id, e.born, e.ended)
	e.record.add("endpoint %s starts as %s", e.name, id)
	return nil
}

// crash ends the life at once: its port is closed and its connections are cut.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.ended)
	_ = e.server.Close()
}

// isUp reports whether the endpoint runs.
func (e *endpoint) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	header := w.Header()
	header.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	header.Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("X-Attempt-Id") == "" {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.handle(e, w, r)
}

// answer sends a success with the endpoint's signature.
func answer(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// stopHeartbeats ends the heartbeats of the present life and returns the last one's
// numbers.
func (e *endpoint) stopHeartbeats() (id string, born int64, sequence int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
	return e.id, e.born, e.sequence
}

// nextSequence returns the number of the next heartbeat, and false when there is none.
func (e *endpoint) nextSequence() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence, !e.paused
}

// sendHeartbeats reports the state of one life to the daemon beside the endpoint.
func (e *endpoint) sendHeartbeats(id string, born int64, ended chan struct{}) {
	for {
		begun, interval := time.Now(), heartbeatInterval
		sequence, ok := e.nextSequence()
		if !ok {
			return
		}
		if _, released := e.ping(id, born, sequence); released {
			interval = releaseInterval
		}
		select {
		case <-time.After(interval - time.Since(begun)):
		case <-ended:
			return
		}
	}
}

// ping sends one heartbeat of a life. It returns the status of the answer, and whether the
// endpoint has released keys for it.
func (e *endpoint) ping(id string, born int64, sequence int) (status int, released bool) {
	e.mu.Lock()
	keys := e.keys
	e.mu.Unlock()
	holds, freed := []any{}, []any{}
	if keys != nil {
		holds, freed = keys.lists()
	}
	body, _ := json.Marshal(map[string]any{
		"address": e.addr, "born": born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": 18},
		"status": map[string]any{"state": "ready", "sequence": sequence, "warmup_left": "0ms"},
		"holds":  holds, "released": freed,
	})
	sent := time.Now()
	status, answer := e.callControl("/Instances.Heartbeat/"+id, body)
	if keys != nil && status == http.StatusOK {
		released = keys.apply(answer, sent, len(freed))
	}
	return status, released
}

// callControl makes a call to the daemon beside the endpoint and returns the status and
// the body of the answer; the status is 0 if none came within a second.
func (e *endpoint) callControl(path string, body []byte) (int, []byte) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+e.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
