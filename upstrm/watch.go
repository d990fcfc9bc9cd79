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
	probeTimeout  = 500 * time.Millisecond
	probeTries    = 4
	probeInterval = 50 * time.Millisecond
	// crashWindow is the time after the loss of a connection within which the
	// end of the upstream's run counts as a crash.
	crashWindow = 5 * time.Second
)

// probeRequest asks for a probe of a target after a connection to it was lost or
// became silent.
type probeRequest struct {
	target *target
	silent bool
}

// checkInflight releases expired holds, requests a probe for calls that wait
// without data, and aborts those that exceed the hard timeout. It runs on the
// watch goroutine.
func (x *Executor) checkInflight() {
	now := x.clock.Now()
	x.inflight.releaseHolds(now)
	for _, f := range x.inflight.snapshot() {
		waits := f.waitingSince.Load()
		if waits == 0 {
			continue
		}
		silent := now.Sub(f.lastActive(waits))
		if silent >= x.hardTimeout {
			x.counts.silent.Inc(1)
			f.abort(errSilent)
			continue
		}
		if silent >= x.probeAfter && f.probed.CompareAndSwap(false, true) {
			x.probeRequests.Put(probeRequest{target: f.target, silent: true})
		}
	}
}

// lastActive returns when the upstream last showed activity on a call that has
// waited for it since the given time.
func (f *inflightCall) lastActive(waits int64) time.Time {
	if c, _ := f.connection(); c != nil {
		waits = max(waits, c.activeAt.Load())
	}
	return time.Unix(0, waits)
}

// recordLoss records that the connection of a call was lost. The calls in flight
// at the first loss of a run are the suspects if that run turns out to have
// crashed.
func (x *Executor) recordLoss(f *inflightCall) {
	t := f.target
	running := x.inflight.sentFingerprints(t)
	t.mu.Lock()
	if t.suspects == nil || x.clock.Now().Sub(t.lostAt) > crashWindow {
		t.suspects, t.lostAt = running, x.clock.Now()
	}
	t.mu.Unlock()
	x.probeRequests.Put(probeRequest{target: t})
}

// handleProbeRequest probes the target over new connections, so that a lost or
// silent connection alone is not taken for a crash. Only a refused connection
// proves one. It runs on the probe goroutine.
func (x *Executor) handleProbeRequest(ctx context.Context, report probeRequest) {
	t := report.target
	if x.target.Load() != t || !t.tracksWrites {
		return
	}
	for range probeTries {
		err := t.probe(ctx)
		switch {
		case err == nil && report.silent:
			x.recordFinding(t, "silent connection replaced")
			t.closeIdle()
			return
		case err == nil:
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			x.recordFinding(t, "upstream refuses connections")
			x.reportCrash(t)
			return
		}
		if !x.pause(ctx, probeInterval) {
			return
		}
	}
	x.recordFinding(t, "upstream does not answer a new connection")
	t.closeIdle()
}

// recordFinding logs a finding about the upstream and emits it as an event of
// the time line.
func (x *Executor) recordFinding(t *target, note string) {
	x.log.Info(note, "instance", t.instance)
	x.sink.Emit(events.Event{Kind: events.KindUpstream, Service: t.service, Note: note + ", instance " + t.instance})
}

// pause waits for d. It returns false if ctx ends first.
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

// probe sends "OPTIONS *" over a new connection. Any response, whatever its
// status, counts as success.
func (t *target) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: probeTimeout}).DialContext,
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
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	return response.Body.Close()
}

// reportCrash reports the suspects of a run that has ended, at most once and
// only within crashWindow after the loss of a connection.
func (x *Executor) reportCrash(t *target) {
	t.mu.Lock()
	running := t.suspects
	recent := x.clock.Now().Sub(t.lostAt) <= crashWindow
	t.suspects = nil
	t.mu.Unlock()
	if len(running) == 0 || !recent || x.quarantine == nil {
		return
	}
	x.recordFinding(t, fmt.Sprintf("upstream crashed with %d requests in flight", len(running)))
	x.quarantine.RecordCrash(t.service, poison.CrashID(x.host, t.service, t.instance), running)
	x.onCrash(x.quarantine.Report())
}
