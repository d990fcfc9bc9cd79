package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// popularPaths is the number of different requests.
	popularPaths = 4
	// popularWork is how long an endpoint works on a request.
	popularWork = 100 * time.Millisecond
	// popularClients is the number of clients of each machine.
	popularClients = 14
)

const popularRoutes = `{"name":"r-photo","path_prefix":"/photo/","kind":"idempotent","timeout":"1500ms","target_latency":"400ms",` +
	`"priority":1,"service":"carrier","max_attempts":2}`

// sendPopular lets the clients of all machines send requests, and returns how many were
// sent and how many were served.
func (f *fleet) sendPopular(d time.Duration) (sent, served int) {
	var nSent, nServed atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(d)
	for _, to := range f.daemons {
		for range popularClients {
			clients.Go(func() {
				for time.Now().Before(end) {
					path := fmt.Sprintf("/photo/%d", rand.IntN(popularPaths))
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					res := f.send(ctx, to, request{method: http.MethodGet, path: path, timeout: 1500 * time.Millisecond})
					cancel()
					nSent.Add(1)
					if res.status == http.StatusOK && res.signed {
						nServed.Add(1)
					}
					f.record.add("client of %s asks for %s and gets %s", to.name, path, res)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return int(nSent.Load()), int(nServed.Load())
}

// playPopular lets all endpoints of a service crash at once, for a reason of their own,
// while they run requests that many clients send.
func playPopular(f *fleet) (string, error) {
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(popularWork):
			answer(w, r, []byte("ok"))
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	for i, zone := range []string{"dallas", "houston", "san-antonio"} {
		f.addHost(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "carrier", handle)
	}
	if err := f.start(config(popularRoutes), "/photo/start"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		time.Sleep(8 * time.Second)
		if !f.trouble {
			return
		}
		for _, e := range f.endpoints {
			e.crash()
			f.record.add("endpoint %s crashes", e.name)
		}
		time.Sleep(downTime)
		for _, e := range f.endpoints {
			if err := e.start("i-" + e.name + "-b"); err != nil {
				f.record.add("endpoint %s doesn't start: %v", e.name, err)
			}
		}
	}()
	sent, served := f.sendPopular(8 * time.Second)
	f.record.add("before: %d of %d requests served", served, sent)
	go f.sendPopular(downTime + time.Second)
	<-crashed
	time.Sleep(recovery + time.Second)
	sent, served = f.sendPopular(measured)
	f.record.add("later than %s after the endpoints are back: %d of %d requests served", recovery, served, sent)
	if served < sent/4 {
		return fmt.Sprintf("RECOVER: %d of %d requests served that were sent later than %s after the endpoints were back", served, sent, recovery), nil
	}
	return "", nil
}
