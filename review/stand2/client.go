package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the outbound addresses until stop is closed.
type clients struct {
	f       *fleet
	stop    chan struct{}
	done    sync.WaitGroup
	counter atomic.Int64
	mu      sync.Mutex
	ends    map[string]int
}

func newClients(f *fleet) *clients {
	return &clients{f: f, stop: make(chan struct{}), ends: map[string]int{}}
}

// run starts count clients of a machine that send requests for random keys.
func (c *clients) run(m *machine, count int, method, path string, pause time.Duration) {
	for range count {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				c.send(client, m, method, path, rand.IntN(1<<16), 4*time.Second)
			}
		}()
	}
}

// send sends one request and returns the status of its answer, 0 without one.
func (c *clients) send(client *http.Client, m *machine, method, path string, key int, budget time.Duration) int {
	id := fmt.Sprintf("q%06d", c.counter.Add(1))
	r, err := http.NewRequest(method, "http://"+m.outbound()+path+strconv.Itoa(key), nil)
	must(err, "create request")
	if method == http.MethodPost {
		r.Body = io.NopCloser(bytes.NewReader([]byte("change")))
		r.ContentLength = 6
	}
	r.Host = "a.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Timeout-Remaining", strconv.FormatInt(budget.Milliseconds(), 10))
	r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	c.f.log.add("request %s %s key %d sent to %s", id, method, key, m.name)
	response, err := client.Do(r)
	status := 0
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	if err != nil {
		c.f.log.add("request %s got no answer: %v", id, err)
		status = 0
	} else {
		c.f.log.add("request %s answered %d", id, status)
	}
	c.mu.Lock()
	c.ends[strconv.Itoa(status)]++
	c.mu.Unlock()
	return status
}

// end stops the clients and records how their requests ended.
func (c *clients) end() {
	close(c.stop)
	c.done.Wait()
	c.f.log.add("requests by status: %v", c.ends)
}
