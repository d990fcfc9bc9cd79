package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// stuckClients is the number of clients whose bodies stop short of their end; the
	// process may open 4,100 descriptors.
	stuckClients = 2200
	// stuckBytes is the length of each body.
	stuckBytes = 1200
	// contact is the bound of the pages with this name.
	contact = 3 * time.Second
	// ordinaryClients is the number of clients that try to connect meanwhile.
	ordinaryClients = 8
)

// stuck lets many clients send a body that stops just short of its end, and stay. Ordinary
// callers must be served all the same.
func stuck(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	e := t.newEndpoint(hubService, "dallas", false, answer(5*time.Millisecond, 100))
	d := t.start("sidecar-dallas-1", "dallas", hubService, e.addr)
	e.control = d.control
	e.begin("i-hub")
	ordinary := func() result {
		return send(request{to: d.outbound, host: hubHost, method: "GET", path: "/read/1", key: -1})
	}
	t.await("requests are served", 20*time.Second, func() bool { return ordinary().status == http.StatusOK })
	body := strings.Repeat("x", stuckBytes)
	if t.trouble {
		body = body[:stuckBytes-1]
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for i := range stuckClients {
		conn, err := net.DialTimeout("tcp4", d.outbound, 2*time.Second)
		if err != nil {
			t.note("client %d can't connect: %v", i, err)
			continue
		}
		conns = append(conns, conn)
		_, _ = fmt.Fprintf(conn, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: stuck%04d\r\nX-Timeout-Remaining: 4000\r\nContent-Length: %d\r\n\r\n%s",
			hubHost, i, stuckBytes, body)
		if i%20 == 19 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.note("%d clients are connected; %s of each body of %d bytes was sent", len(conns), fmt.Sprint(len(body)), stuckBytes)
	// The budgets of all these requests are over after this.
	time.Sleep(8 * time.Second)
	served, failed := 0, 0
	begun := time.Now()
	var lastServed time.Time
	longest := time.Duration(0)
	for time.Since(begun) < 15*time.Second {
		results := make(chan result, ordinaryClients)
		for range ordinaryClients {
			go func() { results <- ordinary() }()
		}
		for range ordinaryClients {
			if r := <-results; r.status != 0 {
				served++
				lastServed = time.Now()
			} else {
				failed++
				if failed <= 10 {
					t.note("ordinary request %s gets no answer: %v", r.id, r.err)
				}
			}
		}
		since := begun
		if lastServed.After(since) {
			since = lastServed
		}
		longest = max(longest, time.Since(since))
		time.Sleep(100 * time.Millisecond)
	}
	ready, err := http.Get("http://" + d.ready + "/readiness")
	status := 0
	if err == nil {
		status = ready.StatusCode
		_ = ready.Body.Close()
	}
	t.note("in 15 s %d ordinary requests got an answer, %d got none; longest time with none answered %.1f s; readiness is %d, the process lives: %v",
		served, failed, longest.Seconds(), status, d.isAlive())
	broken := longest > contact && status == http.StatusOK
	if broken {
		t.note("BROKEN: the daemon says that it is ready and took no new connection for longer than %s", contact)
	}
	return broken
}
