// Command standin plays the cases of the review: it starts daemons of the project and
// stands in for the platform, its store, the endpoints and the clients.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	os.Exit(exitNotRun)
}

// record is the list of what was sent, answered and run.
type record struct {
	begun time.Time
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600); err != nil {
		fatal(err)
	}
}

// fleet is a small deployment.
type fleet struct {
	root, dir string
	trouble   bool
	record    *record
	store     *platformStore
	daemons   []*daemon
	endpoints []*endpoint
	ids       atomic.Int64
}

// addHost adds a machine with an endpoint and a daemon.
func (f *fleet) addHost(name, zone, service string, handle func(*endpoint, http.ResponseWriter, *http.Request)) {
	d := newDaemon(f.dir, name, zone, service, f.store.addr, f.record)
	f.daemons = append(f.daemons, d)
	f.endpoints = append(f.endpoints, &endpoint{
		name: name, service: service, zone: zone, addr: d.app, control: d.control, handle: handle, record: f.record,
	})
}

// start starts all machines and waits until all daemons take clients and serve them.
func (f *fleet) start(config, probePath string) error {
	f.store.put("keyed.op", "config", []byte(config))
	for i, d := range f.daemons {
		if err := f.endpoints[i].start("i-" + d.name); err != nil {
			return err
		}
		d.start(f.root, f.dir)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range f.daemons {
		for !d.isReady() || f.get(d, probePath).status != http.StatusOK {
			if time.Now().After(deadline) {
				return errors.New("daemon " + d.name + " doesn't serve")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.record.add("all daemons serve")
	return nil
}

// stop ends all processes of the case.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.kill()
	}
}

// result is what a client got.
type result struct {
	id     string
	status int
	body   int
	signed bool
	err    error
	took   time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no whole answer after %.3f s: %v", r.id, r.took.Seconds(), r.err)
	}
	return fmt.Sprintf("%s: %d, %d bytes, signed %v, after %.3f s", r.id, r.status, r.body, r.signed, r.took.Seconds())
}

// request is one client attempt.
type request struct {
	method, path, body string
	timeout            time.Duration
	// key is the key of a request to a service that is divided by key.
	key string
}

// send makes a client attempt on a connection of its own.
func (f *fleet) send(ctx context.Context, d *daemon, q request) result {
	res := result{id: fmt.Sprintf("a%06d", f.ids.Add(1))}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.outbound+q.path, strings.NewReader(q.body))
	if err != nil {
		fatal(err)
	}
	r.Host = "rounds.example"
	r.Header.Set("X-Attempt-Id", res.id)
	r.Header.Set("X-Timeout-Remaining", fmt.Sprint(q.timeout.Milliseconds()))
	if q.key != "" {
		r.Header.Set("X-Shard-Key", q.key)
	}
	begun := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		res.err, res.took = err, time.Since(begun)
		return res
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	res.status, res.body, res.err, res.took = response.StatusCode, int(n), err, time.Since(begun)
	res.signed = response.Header.Get("X-Response-Signature") != ""
	return res
}

func (f *fleet) get(d *daemon, path string) result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return f.send(ctx, d, request{method: http.MethodGet, path: path, timeout: time.Second})
}

// config returns the operator's configuration with two services without keys.
func config(routes string) string {
	return `{"version":7,"services":[{"name":"carrier","health_path":"/health","max_connections":110,"protocol":"h1",` +
		`"tls":false},{"name":"desk","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",` +
		`"idle_timeout":"15000ms"},"hosts":[{"host":"rounds.example","paths":[` + routes + `]}]}`
}

// cases are the cases by name. A case returns the rule that was broken, or an empty text.
var cases = map[string]func(*fleet) (string, error){
	"restart": playRestart,
	"endless": playEndless,
	"drain":   playDrain,
	"gone":    playGone,
	"rolled":  playRolled,
}

func main() {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fatal(fmt.Errorf("no case %q", *name))
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	root, err := os.Getwd()
	if err != nil {
		fatal(err)
	}
	store, err := startStore()
	if err != nil {
		fatal(err)
	}
	f := &fleet{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: &record{begun: time.Now()}, store: store}
	broken, err := play(f)
	f.stop()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	code := exitHeld
	switch {
	case err != nil:
		f.record.add("the case couldn't run: %v", err)
		code = exitNotRun
	case broken != "":
		f.record.add("rule broken: %s", broken)
		code = exitBroken
	default:
		f.record.add("the rule held")
	}
	f.record.write(*out)
	fmt.Println(f.record.lines[len(f.record.lines)-1])
	os.Exit(code)
}
