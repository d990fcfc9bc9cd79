package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// fieldClients is the number of clients of a machine whose requests have very many fields.
	fieldClients = 1200
	// fieldBytes is the size of these fields, within max_header_bytes (16,384).
	fieldBytes = 15_000
)

// shortFields has clients of two machines send requests that are legal in size. The disruption is
// that their heads are made of very many short fields, and that they stop one byte short of
// the end of a body of 100 bytes and stay.
func shortFields(f *fleet, trouble bool) {
	for range 2 {
		m := f.add("desk", false)
		m.endpoint.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	}
	f.configure(3, "desk")
	for _, m := range f.machines {
		m.start()
		m.endpoint.start()
	}
	for _, m := range f.machines {
		f.await(m.name+" is ready", 20*time.Second, m.ready)
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	for _, m := range f.machines {
		go m.enforceMemory(stop)
	}
	var fields strings.Builder
	if trouble {
		for i := 0; fields.Len() < fieldBytes; i++ {
			fmt.Fprintf(&fields, "%x:1\r\n", 4096+i)
		}
	} else {
		fmt.Fprintf(&fields, "a: %s\r\n", strings.Repeat("x", fieldBytes))
	}
	for round := range 3 {
		f.log.add("round %d", round+1)
		var waiting []net.Conn
		failed := 0
		for _, m := range f.machines {
			for i := range fieldClients {
				conn, err := net.DialTimeout("tcp4", m.outbound(), 2*time.Second)
				if err != nil {
					failed++
					continue
				}
				waiting = append(waiting, conn)
				f.log.add("request h%d-%s-%d sent to %s, but for the last byte of its body", round, m.name, i, m.name)
				_, _ = fmt.Fprintf(conn, "POST /desk/post/%d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: h%d-%s-%d\r\nX-Timeout-Remaining: 4000\r\nContent-Length: 100\r\n%s\r\n%s",
					i, round, m.name, i, fields.String(), strings.Repeat("b", 99))
				time.Sleep(2 * time.Millisecond)
			}
		}
		time.Sleep(4 * time.Second)
		for _, m := range f.machines {
			f.log.add("daemon of %s uses %d MB", m.name, m.memory()>>20)
		}
		f.log.add("%d connections open, %d refused", len(waiting), failed)
		for _, conn := range waiting {
			_ = conn.Close()
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	f.judgeEnds()
}
