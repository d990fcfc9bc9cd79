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
	// stallTimeout is the route's timeout and the clients' time budget.
	stallTimeout = 5 * time.Second
	// stalledRequests is the number of requests whose answer falls silent.
	stalledRequests = 12
	// answerSize is the size of an answer; the endpoint falls silent after silentAfter
	// bytes.
	answerSize  = 2 << 20
	silentAfter = 1<<20 + 1<<19
)

// playStall sends requests with long answers. With the disruption, the endpoint's
// connections fall silent in the middle of the answers.
func playStall(f *fleet) (string, error) {
	var silent atomic.Bool
	over := make(chan struct{})
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/statement/ok" {
			answer(w, r, []byte("ok"))
			return
		}
		f.record.add("endpoint %s begins %s, X-Timeout-Remaining %s", e.name, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Timeout-Remaining"))
		w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Length", fmt.Sprint(answerSize))
		_, _ = w.Write(make([]byte, silentAfter))
		if silent.Load() {
			// Nothing more arrives on this connection, and it isn't reset.
			w.(http.Flusher).Flush()
			begun := time.Now()
			select {
			case <-r.Context().Done():
				f.record.add("the daemon closes the connection of %s %.3f s after it fell silent", r.Header.Get("X-Attempt-Id"),
					time.Since(begun).Seconds())
			case <-over:
				f.record.add("the connection of %s is still open %.3f s after it fell silent", r.Header.Get("X-Attempt-Id"),
					time.Since(begun).Seconds())
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, answerSize-silentAfter))
	}
	f.addHost("sidecar-dallas-1", "dallas", "carrier", handle)
	f.addHost("sidecar-houston-2", "houston", "carrier", handle)
	routes := `{"name":"r-st","path_prefix":"/statement/","kind":"idempotent","timeout":"5000ms","target_latency":"1000ms","priority":2,` +
		`"service":"carrier","max_attempts":2}`
	if err := f.start(config(routes), "/statement/ok"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	silent.Store(f.trouble)
	var clients sync.WaitGroup
	var late atomic.Int64
	for range stalledRequests {
		clients.Go(func() {
			// The client waits on for a second after its time budget, so that its leaving
			// isn't what ends the request.
			ctx, cancel := context.WithTimeout(context.Background(), stallTimeout+time.Second)
			defer cancel()
			res := f.send(ctx, f.daemons[0], request{method: http.MethodGet, path: "/statement/1", timeout: stallTimeout})
			f.record.add("client of %s gets %s", f.daemons[0].name, res)
			if res.took > stallTimeout+500*time.Millisecond {
				late.Add(1)
			}
		})
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	f.record.add("%d of %d requests had no final answer 0.5 s after their route's timeout", late.Load(), stalledRequests)
	close(over)
	time.Sleep(200 * time.Millisecond)
	if n := late.Load(); n >= 8 && n*4 > stalledRequests {
		return fmt.Sprintf("CONFIG: %d of %d requests had no final answer 0.5 s after their route's timeout", n, stalledRequests), nil
	}
	return "", nil
}
