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
	// endlessTimeout is the route's timeout and the clients' time budget.
	endlessTimeout = 4 * time.Second
	// patience is how much longer a client stays, so that its leaving isn't what ends the
	// request.
	patience = 3 * time.Second
	// endlessRequests is the number of requests that are sent at the same time.
	endlessRequests = 12
	// wholeAnswer is the size of an answer without the disruption.
	wholeAnswer = 2 << 20
	// pieceSize and piecePause set the rate of an answer without end, 1.6 MB a second.
	pieceSize  = 32 << 10
	piecePause = 20 * time.Millisecond
)

// playEndless sends requests to an endpoint. With the disruption, the bodies of its answers
// have no end until the caller closes.
func playEndless(f *fleet) (string, error) {
	var endless atomic.Bool
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		switch {
		case r.URL.Path == "/statement/ok":
			answer(w, r, []byte("ok"))
		case !endless.Load():
			answer(w, r, make([]byte, wholeAnswer))
		default:
			f.record.add("endpoint %s begins %s, X-Timeout-Remaining %s", e.name, id, r.Header.Get("X-Timeout-Remaining"))
			begun := time.Now()
			sent := sendWithoutEnd(w, r)
			f.record.add("the daemon closes the connection of %s after %.3f s and %d bytes", id, time.Since(begun).Seconds(), sent)
			panic(http.ErrAbortHandler)
		}
	}
	f.addHost("sidecar-dallas-1", "dallas", "carrier", handle)
	f.addHost("sidecar-houston-2", "houston", "carrier", handle)
	routes := `{"name":"r-st","path_prefix":"/statement/","kind":"idempotent","timeout":"4000ms","target_latency":"1000ms","priority":2,` +
		`"service":"carrier","max_attempts":2}`
	if err := f.start(config(routes), "/statement/ok"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	endless.Store(f.trouble)
	var clients sync.WaitGroup
	var late atomic.Int64
	for range endlessRequests {
		clients.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout+patience)
			defer cancel()
			res := f.send(ctx, f.daemons[0], request{method: http.MethodGet, path: "/statement/1", timeout: endlessTimeout})
			f.record.add("client of %s gets %s", f.daemons[0].name, res)
			if res.took > endlessTimeout+500*time.Millisecond {
				late.Add(1)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	f.record.add("%d of %d requests had no final answer 0.5 s after their route's timeout", late.Load(), endlessRequests)
	if n := late.Load(); n >= 8 && n*4 > endlessRequests {
		return fmt.Sprintf("CONFIG: %d of %d requests had no final answer 0.5 s after their route's timeout", n, endlessRequests), nil
	}
	return "", nil
}

// sendWithoutEnd sends an answer without a length until its connection ends, and returns the
// number of bytes that were sent.
func sendWithoutEnd(w http.ResponseWriter, r *http.Request) (sent int) {
	w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Connection", "close")
	piece := make([]byte, pieceSize)
	for r.Context().Err() == nil {
		n, err := w.Write(piece)
		sent += n
		if err != nil {
			return sent
		}
		time.Sleep(piecePause)
	}
	return sent
}
