package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings, in bytes.
	memoryLimit = 284 << 20
	// uploads is the number of bodies that are sent at the same time, largeBody their
	// size and smallBody the size without the disruption. max_body_bytes is 64 MiB.
	uploads   = 8
	largeBody = 60 << 20
	smallBody = 360_000
	// keptClients is the number of clients that send requests on kept connections.
	keptClients = 12
	// lookupWork is how long the endpoint works on their requests.
	lookupWork = 300 * time.Millisecond
	// lostAllowed is the number of requests of the rule LOST that may be lost.
	lostAllowed = 3
)

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// enforceMemory kills a daemon that exceeds its memory, as the platform does, and starts
// it again after a short delay.
func enforceMemory(ctx context.Context, f *fleet, d *daemon, most *atomic.Int64) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		used := residentBytes(d.cmd.Process.Pid)
		most.Store(max(most.Load(), used))
		if used <= memoryLimit {
			continue
		}
		f.record.add("daemon %s uses %d MiB of %d and is killed by the platform", d.name, used>>20, memoryLimit>>20)
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.exited
		time.Sleep(500 * time.Millisecond)
		if ctx.Err() == nil {
			d.start(f.root, f.dir)
		}
	}
}

// zeros is a body of a given size that needs no memory.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// playMemory sends uploads at the same time, each smaller than max_body_bytes, beside
// clients that look something up.
func playMemory(f *fleet) (string, error) {
	var ran sync.Map
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("X-Attempt-Id"), true)
		if r.Method == http.MethodPost {
			n, err := io.Copy(io.Discard, r.Body)
			f.record.add("endpoint %s ran %s: %d bytes, err %v", e.name, r.Header.Get("X-Attempt-Id"), n, err)
		} else if r.URL.Path != "/lookup/ok" {
			time.Sleep(lookupWork)
		}
		answer(w, r, []byte("ok"))
	}
	for i, zone := range []string{"dallas", "houston", "san-antonio"} {
		f.addHost(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "carrier", handle)
	}
	routes := `{"name":"r-up","path_prefix":"/upload/","kind":"upload","timeout":"10000ms","target_latency":"3000ms","priority":1,` +
		`"service":"carrier","max_attempts":2},{"name":"r-get","path_prefix":"/lookup/","kind":"idempotent","timeout":"1500ms",` +
		`"target_latency":"400ms","priority":1,"service":"carrier","max_attempts":2}`
	if err := f.start(config(routes), "/lookup/ok"); err != nil {
		return "", err
	}
	time.Sleep(contact)
	d := f.daemons[0]
	ctx, cancel := context.WithCancel(context.Background())
	var most atomic.Int64
	var watching, clients sync.WaitGroup
	watching.Go(func() { enforceMemory(ctx, f, d, &most) })
	var lost atomic.Int64
	end := time.Now().Add(6 * time.Second)
	for range keptClients {
		clients.Go(func() { lost.Add(f.lookUp(d, end, &ran)) })
	}
	time.Sleep(time.Second)
	size := int64(smallBody)
	if f.trouble {
		size = largeBody
	}
	for range uploads {
		clients.Go(func() { f.record.add("client of %s gets %s", d.name, f.upload(d, size)) })
	}
	clients.Wait()
	cancel()
	watching.Wait()
	f.record.add("most memory seen: %d MiB of %d; %d requests lost on kept connections, %d allowed",
		most.Load()>>20, memoryLimit>>20, lost.Load(), lostAllowed)
	if lost.Load() > lostAllowed {
		return fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound endpoint and their connections closed "+
			"without an answer", lost.Load()), nil
	}
	return "", nil
}

// lookUp sends requests on one kept connection after the other and returns how many were
// run and lost their connection without an answer.
func (f *fleet) lookUp(d *daemon, end time.Time, ran *sync.Map) (lost int64) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	for sent := 0; time.Now().Before(end); sent++ {
		id := fmt.Sprintf("k%06d", f.ids.Add(1))
		r, err := http.NewRequest(http.MethodGet, "http://"+d.outbound+"/lookup/x", nil)
		if err != nil {
			fatal(err)
		}
		r.Host = "rounds.example"
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Timeout-Remaining", "1200")
		response, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err == nil {
			continue
		}
		_, wasRun := ran.Load(id)
		f.record.add("client of %s loses %s, request %d on its connection, run by an endpoint: %v: %v", d.name, id, sent+1, wasRun, err)
		if wasRun && sent > 0 {
			lost++
		}
		sent = -1
		time.Sleep(200 * time.Millisecond)
	}
	return lost
}

// upload sends one body of the given size.
func (f *fleet) upload(d *daemon, size int64) result {
	res := result{id: fmt.Sprintf("u%06d", f.ids.Add(1))}
	r, err := http.NewRequest(http.MethodPost, "http://"+d.outbound+"/upload/photo", io.LimitReader(zeros{}, size))
	if err != nil {
		fatal(err)
	}
	r.ContentLength = size
	r.Host = "rounds.example"
	r.Header.Set("X-Attempt-Id", res.id)
	r.Header.Set("X-Timeout-Remaining", "10000")
	begun := time.Now()
	f.record.add("client of %s sends %s: %d bytes", d.name, res.id, size)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	response, err := client.Do(r)
	res.took = time.Since(begun)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, res.err = io.Copy(&body, response.Body)
	res.status, res.body, res.signed = response.StatusCode, body.Len(), response.Header.Get("X-Response-Signature") != ""
	return res
}
