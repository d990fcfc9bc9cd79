package upstrm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

const (
	probeTime  = 500 * time.Millisecond
	probeTries = 4
	probePause = 50 * time.Millisecond
	// lossTime is how long after the loss of a connection the end of the
	// upstream's run still counts as a crash.
	lossTime = 5 * time.Second
)

// loss asks to examine a target after a connection to it was lost or became
// silent.
type loss struct {
	target *target
	silent bool
}

// watch looks for silent calls and ends holds. It runs on the watch goroutine.
func (x *Executor) watch() {
	now := x.clock.Now()
	x.flights.release(now)
	for _, f := range x.flights.snapshot() {
		waits := f.waits.Load()
		if waits == 0 {
			continue
		}
		silent := now.Sub(f.lastActive(waits))
		if silent >= x.hard {
			x.counts.silent.Inc(1)
			f.abort(errSilent)
			continue
		}
		if silent >= x.silence && f.probed.CompareAndSwap(false, true) {
			x.losses.Put(loss{target: f.target, silent: true})
		}
	}
}

// lastActive returns when the upstream last showed activity on a call that has
// waited for it since the given time.
func (f *flight) lastActive(waits int64) time.Time {
	if c, _ := f.connection(); c != nil {
		waits = max(waits, c.active.Load())
	}
	return time.Unix(0, waits)
}

// lose records that the connection of a call was lost. The calls in flight at
// the first loss of a run are suspects if that run turns out to have crashed.
func (x *Executor) lose(f *flight) {
	t := f.target
	running := x.flights.sent(t)
	t.mu.Lock()
	if t.lost == nil || x.clock.Now().Sub(t.lostAt) > lossTime {
		t.lost, t.lostAt = running, x.clock.Now()
	}
	t.mu.Unlock()
	x.losses.Put(loss{target: t})
}

// examine tries a new connection before an upstream is called dead. It runs on
// the probe goroutine.
func (x *Executor) examine(ctx context.Context, report loss) {
	t := report.target
	if x.target.Load() != t || !t.exact {
		return
	}
	for range probeTries {
		err := t.probe(ctx)
		switch {
		case err == nil && report.silent:
			x.report(t, "silent connection replaced")
			t.closeIdle()
			return
		case err == nil:
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			x.report(t, "upstream refuses connections")
			x.confirm(t)
			return
		}
		if !x.pause(ctx, probePause) {
			return
		}
	}
	x.report(t, "upstream does not answer a new connection")
	t.closeIdle()
}

// report logs what was found out about the upstream, and records it on the
// time line.
func (x *Executor) report(t *target, note string) {
	x.log.Info(note, "instance", t.instance)
	x.sink.Emit(events.Event{Kind: events.KindUpstream, Service: t.service, Note: note + ", instance " + t.instance})
}

// pause waits for d and reports false when ctx ended first.
func (x *Executor) pause(ctx context.Context, d time.Duration) bool {
	timer := x.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// probe asks for "OPTIONS *" over a new connection. Any answer will do.
func (t *target) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: probeTime}).DialContext,
		DisableKeepAlives: true,
	}
	defer transport.CloseIdleConnections()
	request := &http.Request{
		Method:     http.MethodOptions,
		URL:        &url.URL{Scheme: t.scheme, Host: t.host, Opaque: "*"},
		Host:       t.host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
	return response.Body.Close()
}

// confirm reports the suspects of a run that has crashed, once.
func (x *Executor) confirm(t *target) {
	t.mu.Lock()
	running := t.lost
	recent := x.clock.Now().Sub(t.lostAt) <= lossTime
	t.lost = nil
	t.mu.Unlock()
	if len(running) == 0 || !recent || x.quarantine == nil {
		return
	}
	x.report(t, fmt.Sprintf("upstream crashed with %d requests in flight", len(running)))
	x.quarantine.RecordCrash(t.service, poison.CrashID(x.host, t.service, t.instance), running)
	x.crashed(x.quarantine.Report())
}
