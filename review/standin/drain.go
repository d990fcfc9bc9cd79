package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is the bound drain of the settings.
	drainTime = 2 * time.Second
	// servesOn is how long the leaving endpoint serves on after its notice.
	servesOn = 10 * time.Second
	// drainWork is how long an endpoint works on a request.
	drainWork = 100 * time.Millisecond
	// drainClients is the number of clients that send at the same time; an endpoint has 18
	// slots.
	drainClients = 24
	// pingDelay is how late the delayed ping arrives.
	pingDelay = 4 * time.Second
)

// playDrain lets an endpoint leave with a notice only. With the disruption, the daemon
// beside it is killed after it has acknowledged the notice, and a ping from before the
// notice arrives late.
func playDrain(f *fleet) (string, error) {
	var acked atomic.Pointer[time.Time]
	var inTouch atomic.Pointer[time.Time]
	var late, lost atomic.Int64
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		at, touch := acked.Load(), inTouch.Load()
		if e == f.endpoints[0] && at != nil && time.Since(*at) > drainTime {
			counted := touch != nil && time.Now().After(*touch)
			if counted {
				late.Add(1)
			}
			f.record.add("%s reaches endpoint %s %.3f s after its leaving was acknowledged; all machines in touch: %v",
				r.Header.Get("X-Attempt-Id"), e.name, time.Since(*at).Seconds(), counted)
		}
		time.Sleep(drainWork)
		answer(w, r, []byte("ok"))
	}
	f.addHost("sidecar-dallas-1", "dallas", "carrier", handle)
	f.addHost("sidecar-houston-2", "houston", "carrier", handle)
	// The clients are on a machine of another service, so that no endpoint is near them.
	f.addHost("sidecar-san-antonio-3", "san-antonio", "desk", handle)
	routes := `{"name":"r-get","path_prefix":"/lookup/","kind":"non_idempotent","timeout":"1500ms","target_latency":"400ms","priority":1,` +
		`"service":"carrier","max_attempts":2}`
	if err := f.start(config(routes), "/lookup/ok"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	leaving, beside := f.endpoints[0], f.daemons[0]
	id, born, sequence := leaving.stopHeartbeats()
	delayed := time.Now()
	if status, _ := leaving.callControl("/Instances.Deregister/"+id, nil); status != http.StatusOK {
		return "", fmt.Errorf("notice of leaving got status %d", status)
	}
	at := time.Now()
	acked.Store(&at)
	f.record.add("daemon %s acknowledges that endpoint %s leaves", beside.name, id)
	if f.trouble {
		time.Sleep(200 * time.Millisecond)
		beside.kill()
		f.record.add("daemon %s is killed", beside.name)
		time.Sleep(500 * time.Millisecond)
		beside.start(f.root, f.dir)
		touch := time.Now().Add(contact)
		inTouch.Store(&touch)
	} else {
		inTouch.Store(&at)
	}
	go func() {
		time.Sleep(pingDelay - time.Since(delayed))
		status, _ := leaving.ping(id, born, sequence+1)
		f.record.add("ping %d of %s, sent before the notice, arrives %.1f s late and is answered %d", sequence+1, id, pingDelay.Seconds(), status)
	}()
	time.AfterFunc(servesOn, func() {
		leaving.crash()
		f.record.add("endpoint %s ends", id)
	})
	var clients sync.WaitGroup
	for range drainClients {
		clients.Go(func() {
			for time.Since(at) < servesOn+time.Second {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				res := f.send(ctx, f.daemons[2], request{method: http.MethodPost, path: "/lookup/x", timeout: time.Second})
				cancel()
				if res.status == http.StatusBadGateway {
					lost.Add(1)
					f.record.add("client of %s gets %s", f.daemons[2].name, res)
				}
			}
		})
	}
	clients.Wait()
	f.record.add("%d requests, which may not be repeated, were lost with the endpoint", lost.Load())
	if n := late.Load(); n > 0 {
		return fmt.Sprintf("DRAIN: %d requests, sent on by machines in touch, reached an endpoint later than %s after a machine "+
			"in touch had acknowledged its leaving", n, drainTime), nil
	}
	return "", nil
}
