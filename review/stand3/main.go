// Command review3 holds the stand-ins of the third review and its trials. Each trial
// starts the project's daemons as processes of their own on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// trial is one run of a case.
type trial struct {
	program string
	dir     string
	trouble bool
	store   *store
	began   time.Time
	// daemons and endpoints are all that were created.
	daemons   []*daemon
	endpoints []*endpoint

	mu     sync.Mutex
	record *os.File
}

// trials are the cases by name. Each returns whether the rule was broken.
var trials = map[string]func(t *trial) bool{
	"fences":    fences,
	"witnesses": witnesses,
	"stuck":     stuck,
	"terms":     terms,
}

// limit ends a trial that takes too long.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 4 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 TRIAL PROGRAM RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review3-")
	must(err)
	record, err := os.Create(os.Args[3])
	must(err)
	t := &trial{
		program: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record,
	}
	t.note("trial %s, trouble %v", os.Args[1], t.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if f := recover(); f != nil {
				t.note("the case couldn't run: %v", f)
				result <- 2
			}
		}()
		t.store = startStore()
		code := 0
		if trials[os.Args[1]](t) {
			code = 1
		}
		result <- code
	}()
	code := 2
	select {
	case code = <-result:
	case <-signals:
		t.note("the case couldn't run: ended by a signal")
	case <-time.After(limit):
		t.note("the case couldn't run: out of time")
	}
	t.note("sent and answered: %s", summary())
	for _, e := range t.endpoints {
		t.note("run by the endpoint of %s at %s: %d requests", e.service, e.addr, e.arrived())
	}
	t.end()
	t.note("%s", map[int]string{0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	_ = record.Close()
	os.Exit(code)
}

// note writes a line to the record, with the time since the start of the trial.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes.
func (t *trial) end() {
	for _, d := range t.daemons {
		if d.process != nil {
			d.kill()
		}
	}
}

// start creates a daemon, and starts it.
func (t *trial) start(name, zone, service, app string) *daemon {
	d := t.newDaemon(name, zone, service, app)
	t.daemons = append(t.daemons, d)
	d.start(true)
	return d
}

// await polls a condition and fails the trial if it doesn't come true in time.
func (t *trial) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	panic("waited in vain until " + what)
}

// must fails the trial: the error is one of the stand-ins or of the machine.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
