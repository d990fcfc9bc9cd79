package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerBytes is the length of the answers of the download route.
	answerBytes = 500_000
	// readers is the number of clients of a machine that don't read their answer.
	readers = 700
)

// slowReaders has clients of two machines ask for downloads. The disruption is that they
// don't read the answers. The platform ends a process that exceeds the memory of its machine, and starts
// it again. It is judged how often that happens.
func slowReaders(f *fleet, trouble bool) {
	for range 2 {
		m := f.add("library", false)
		m.endpoint.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
		body := bytes.Repeat([]byte("x"), answerBytes)
		m.endpoint.body = func(*http.Request) []byte { return body }
	}
	f.configure(3, "library")
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
	for round := range 3 {
		f.log.add("round %d", round+1)
		var waiting []net.Conn
		failed := 0
		var answered atomic.Int64
		for _, m := range f.machines {
			for i := range readers {
				conn, err := dialSmall(m.outbound())
				if err != nil {
					failed++
					continue
				}
				waiting = append(waiting, conn)
				id := fmt.Sprintf("d%d-%s-%d", round, m.name, i)
				f.log.add("download %s sent to %s", id, m.name)
				go func() {
					_, _ = fmt.Fprintf(conn, "GET /library/load/%d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Timeout-Remaining: 4000\r\n\r\n", i, id)
					if trouble {
						return
					}
					n, status := readAll(conn)
					if n == answerBytes {
						answered.Add(1)
					}
					f.log.add("download %s answered %s, %d bytes", id, status, n)
				}()
				time.Sleep(6 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		for _, m := range f.machines {
			f.log.add("daemon of %s uses %d MB", m.name, m.memory()>>20)
		}
		for _, conn := range waiting {
			_ = conn.Close()
		}
		f.log.add("%d connections open, %d refused, %d downloads read whole", len(waiting), failed, answered.Load())
		time.Sleep(2 * time.Second)
	}
	close(stop)
	f.judgeEnds()
}

// judgeEnds checks rule Fault: how often processes were ended for their memory.
func (f *fleet) judgeEnds() {
	low := 0
	for _, m := range f.machines {
		f.log.add("daemon of %s was ended for its memory %d times", m.name, m.ends)
		if m.ends >= 3 {
			low++
		}
	}
	if low >= 2 {
		f.log.violation("Fault: the processes of %d machines ended three times with no disturbance there, for their memory", low)
	}
}

// dialSmall opens a connection with the packet size of a usual network and a small
// receive window, as the platform's links have.
func dialSmall(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	return d.DialContext(context.Background(), "tcp4", addr)
}

func readAll(conn net.Conn) (n int64, status string) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	var b bytes.Buffer
	n, err = b.ReadFrom(response.Body)
	if err != nil {
		return n, err.Error()
	}
	return n, response.Status
}

// memory returns the resident memory of the daemon in bytes.
func (m *machine) memory() int64 {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (pages - shared) * int64(os.Getpagesize())
}

// enforceMemory plays the platform: it ends the daemon when its memory exceeds that of the
// machine, and starts it again a little later.
func (m *machine) enforceMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if used := m.memory(); used > int64(m.fleet.memoryMB)<<20 {
			m.fleet.log.add("daemon of %s uses %d MB, more than its machine's %d, and is ended", m.name, used>>20, m.fleet.memoryMB)
			m.kill()
			m.ends++
			time.Sleep(500 * time.Millisecond)
			m.start()
		}
	}
}
