package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// fieldClients is the number of clients that send many fields.
	fieldClients = 1800
	// headBytes is the size of each head; the configuration allows 16,000.
	headBytes = 15900
)

// fields lets many clients send heads of legal size that are made of very many short fields,
// with a body that stops short of its end. The daemon must stay within its memory.
func fields(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	e := t.newEndpoint(hubService, "dallas", false, answer(5*time.Millisecond, 100))
	d := t.start("sidecar-dallas-1", "dallas", hubService, e.addr)
	e.control = d.control
	e.begin("i-hub")
	ordinary := func() result {
		return send(request{to: d.outbound, host: hubHost, method: "GET", path: "/read/1", key: -1})
	}
	t.await("requests are served", 20*time.Second, func() bool { return ordinary().status == http.StatusOK })
	var head strings.Builder
	n := 0
	for ; head.Len() < headBytes-200; n++ {
		if t.trouble {
			fmt.Fprintf(&head, "%s:1\r\n", fieldName(n))
		} else {
			fmt.Fprintf(&head, "f%d:%s\r\n", n, strings.Repeat("1", 1000))
		}
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	broken := false
	check := func() {
		if !d.isAlive() && !broken {
			t.note("BROKEN: the daemon has ended by itself")
			broken = true
		} else if peak := d.memory("VmHWM"); peak > d.memoryMB && !broken {
			t.note("BROKEN: %d MiB of memory, the machine has %d MiB; the platform kills the process", peak, d.memoryMB)
			broken = true
		}
	}
	for i := range fieldClients {
		conn, err := net.DialTimeout("tcp4", d.outbound, 2*time.Second)
		if err != nil {
			t.note("client %d can't connect: %v", i, err)
			continue
		}
		conns = append(conns, conn)
		_, _ = fmt.Fprintf(conn, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: f%04d\r\nX-Timeout-Remaining: 4000\r\nContent-Length: 100\r\n%s\r\n%s",
			hubHost, i, head.String(), strings.Repeat("x", 99))
		time.Sleep(5 * time.Millisecond)
		if i%100 == 99 {
			t.note("%d clients, %d fields each: %d MiB now, %d MiB at the peak", i+1, n, d.memory("VmRSS"), d.memory("VmHWM"))
			check()
		}
	}
	time.Sleep(5 * time.Second)
	check()
	r := ordinary()
	t.note("an ordinary request is answered: %d, %v; %d MiB at the peak", r.status, r.err, d.memory("VmHWM"))
	return broken
}

// fieldName returns the short name of a field.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[n/676%26], letters[n/26%26], letters[n%26]})
}
