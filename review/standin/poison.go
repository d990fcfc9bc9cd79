package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contact is the time without disturbance after which a machine is in touch.
	contact = 3 * time.Second
	// downTime is how long an endpoint is down after a crash.
	downTime = 2 * time.Second
	// allowedRetries is the number of retries that may reach endpoints later than
	// contact after the third crash.
	allowedRetries = 3
	poisonPath     = "/upload/poison"
)

// crashes counts the endpoints that a request has crashed.
type crashes struct {
	f *fleet

	mu    sync.Mutex
	count int
	third time.Time
	// late counts the retries that reached an endpoint later than contact after the
	// third crash.
	late int
}

// handle answers requests; the poison request crashes the endpoint that begins it.
func (c *crashes) handle(e *endpoint, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != poisonPath {
		answer(w, r, []byte("ok"))
		return
	}
	c.mu.Lock()
	c.count++
	n := c.count
	late := !c.third.IsZero() && time.Since(c.third) > contact
	if late {
		c.late++
	}
	if n == 3 {
		c.third = time.Now()
	}
	c.mu.Unlock()
	c.f.record.add("endpoint %s begins %s and crashes: crash %d, counted as a late retry: %v", e.name, r.Header.Get("X-Attempt-Id"), n, late)
	go func() {
		e.crash()
		time.Sleep(downTime)
		if err := e.start(fmt.Sprintf("i-%s-%d", e.name, n)); err != nil {
			c.f.record.add("endpoint %s doesn't start: %v", e.name, err)
		}
	}()
	// The crash cuts the connection before an answer.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// sendPoison sends the poison request to a daemon whose own endpoint is back.
func (c *crashes) sendPoison(d *daemon, e *endpoint) {
	for !e.isUp() {
		time.Sleep(50 * time.Millisecond)
	}
	// The endpoint has sent its first heartbeats.
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res := c.f.send(ctx, d, request{method: http.MethodPost, path: poisonPath, body: "the same photo", timeout: 1500 * time.Millisecond})
	c.f.record.add("client of %s gets %s", d.name, res)
}

func (c *crashes) verdict() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.record.add("%d crashes, %d retries later than %s after the third one, %d allowed", c.count, c.late, contact, allowedRetries)
	if c.late > allowedRetries {
		return fmt.Sprintf("BUDGET: the request reached endpoints in %d retries later than %s after it had crashed the third", c.late, contact)
	}
	return ""
}

const poisonRoutes = `{"name":"r-up","path_prefix":"/upload/","kind":"upload","timeout":"1500ms","target_latency":"400ms",` +
	`"priority":1,"service":"carrier","max_attempts":2}`

// playRestart sends the request until it is refused. With the disruption, the daemons are
// then stopped and started in turn, and the request comes again at each of them once it
// is in touch.
func playRestart(f *fleet) (string, error) {
	c := &crashes{f: f}
	for i, zone := range []string{"dallas", "houston", "san-antonio"} {
		f.addHost(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "carrier", c.handle)
	}
	if err := f.start(config(poisonRoutes), "/upload/ok"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	for range 4 {
		c.sendPoison(f.daemons[0], f.endpoints[0])
	}
	time.Sleep(contact)
	for i, d := range f.daemons {
		if f.trouble {
			d.stop()
			time.Sleep(500 * time.Millisecond)
			d.start(f.root, f.dir)
			for !d.isReady() {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(contact + 500*time.Millisecond)
		for range 4 {
			c.sendPoison(d, f.endpoints[i])
		}
	}
	return c.verdict(), nil
}
