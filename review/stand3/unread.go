package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// crowd is the number of clients that don't read their answers.
	crowd = 800
	// answerBytes is the size of each answer: the largest of the class firmware-pull.
	answerBytes = 540000
	// memoryMB is the smallest memory of a machine in the customer's sheet.
	memoryMB = 184
)

// unread lets clients ask for large answers that they don't read. The daemon must stay
// within the memory of its machine.
func unread(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	e := t.newEndpoint(hubService, "dallas", false, answer(5*time.Millisecond, answerBytes))
	d := t.newDaemon("sidecar-dallas-1", "dallas", hubService, e.addr)
	t.daemons = append(t.daemons, d)
	d.memoryMB = memoryMB
	d.start(true)
	e.control = d.control
	e.begin("i-firmware")
	t.await("requests are served", 20*time.Second, func() bool {
		return send(request{to: d.outbound, host: hubHost, method: "GET", path: "/read/1", key: -1}).status == http.StatusOK
	})
	t.note("memory before the crowd: %d MiB now, %d MiB at the peak", d.memory("VmRSS"), d.memory("VmHWM"))
	var conns []net.Conn
	var readers sync.WaitGroup
	for i := range crowd {
		conn, err := slowDialer.Dial("tcp4", d.outbound)
		if err != nil {
			t.note("client %d can't connect: %v", i, err)
			continue
		}
		conns = append(conns, conn)
		_, _ = fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd%04d\r\nX-Timeout-Remaining: 4000\r\n\r\n", hubHost, i)
		if !t.trouble {
			readers.Add(1)
			go func() {
				defer readers.Done()
				buf := make([]byte, 64<<10)
				for n := 0; n < answerBytes; {
					k, err := conn.Read(buf)
					if err != nil {
						return
					}
					n += k
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
	}
	broken := false
	for i := range 25 {
		time.Sleep(time.Second)
		if !d.isAlive() {
			t.note("BROKEN: the daemon has ended by itself")
			broken = true
			break
		}
		peak := d.memory("VmHWM")
		if peak > memoryMB && !broken {
			t.note("BROKEN: %d MiB of memory, the machine has %d MiB; the platform kills the process", peak, memoryMB)
			broken = true
		}
		if i%5 == 0 {
			t.note("%d s after the crowd: %d MiB now, %d MiB at the peak", i+1, d.memory("VmRSS"), peak)
		}
	}
	if d.isAlive() {
		r := send(request{to: d.outbound, host: hubHost, method: "GET", path: "/read/1", key: -1})
		t.note("an ordinary request is answered: %d, %d bytes, %v", r.status, len(r.body), r.err)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	readers.Wait()
	return broken
}

// slowDialer opens connections as over a link with an ordinary packet size, whose client
// has little room for what it doesn't read.
var slowDialer = net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
	})
}}
