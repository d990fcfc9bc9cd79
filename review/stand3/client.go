package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the trials' deployment.
const (
	deskService = "desk1"
	hubService  = "hub1"
	deskHost    = "desk.example"
	hubHost     = "hub.example"
)

// config is the operators' configuration: one host for a service that is divided by key, and
// one for a service that isn't.
func config() []byte {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "path_prefix": "/" + name + "/", "kind": kind, "timeout": "4000ms", "target_latency": "400ms",
			"priority": 1, "max_attempts": 2, "service": service,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": 3,
		"services": []any{
			map[string]any{"name": deskService, "max_connections": 110, "health_path": "/health", "shard_enabled": true, "warm": "3s"},
			map[string]any{"name": hubService, "max_connections": 110, "health_path": "/health"},
		},
		"limits": map[string]any{
			"max_header_bytes": 16000, "max_body_bytes": 8388608, "header_timeout": "3s", "idle_timeout": "15s",
		},
		"hosts": []any{
			map[string]any{"host": deskHost, "paths": []any{route("read", "idempotent", deskService), route("write", "non_idempotent", deskService)}},
			map[string]any{"host": hubHost, "paths": []any{route("read", "idempotent", hubService), route("write", "non_idempotent", hubService)}},
		},
	})
	must(err)
	return data
}

var attempts atomic.Int64

// request is what a client sends.
type request struct {
	to, host, method, path string
	key                    int
	body                   string
	budget                 time.Duration
}

// result is what a client got.
type result struct {
	id     string
	status int
	body   string
	err    error
	sent   time.Time
}

// answers counts how the requests of ordinary clients ended.
var answers struct {
	sync.Mutex
	counts map[string]int
}

// summary tells how many requests ended in which way.
func summary() string {
	answers.Lock()
	defer answers.Unlock()
	var parts []string
	total := 0
	for how, n := range answers.counts {
		parts = append(parts, fmt.Sprintf("%s: %d", how, n))
		total += n
	}
	sort.Strings(parts)
	return fmt.Sprintf("%d requests of ordinary clients (%s)", total, strings.Join(parts, ", "))
}

// send sends one request on a new connection.
func send(r request) result {
	out := exchange(r)
	how := fmt.Sprint(out.status)
	if out.err != nil {
		how = "no whole answer"
	}
	answers.Lock()
	defer answers.Unlock()
	if answers.counts == nil {
		answers.counts = map[string]int{}
	}
	answers.counts[how]++
	return out
}

func exchange(r request) result {
	id := fmt.Sprintf("a%06d", attempts.Add(1))
	if r.budget == 0 {
		r.budget = 2 * time.Second
	}
	req, err := http.NewRequest(r.method, "http://"+r.to+r.path, strings.NewReader(r.body))
	must(err)
	req.Host = r.host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Timeout-Remaining", fmt.Sprint(r.budget.Milliseconds()))
	if r.key >= 0 {
		req.Header.Set("X-Shard-Key", fmt.Sprint(r.key))
	}
	client := http.Client{Timeout: r.budget + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	out := result{id: id, sent: time.Now()}
	response, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	out.status, out.body, out.err = response.StatusCode, string(data), err
	return out
}
