package upstrm

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/journl"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

// Causes for which a call in flight is given up.
var (
	errCut    = errors.New("connections to the upstream are cut")
	errSilent = errors.New("upstream is silent")
)

// flight is one call on its way to the upstream and back.
type flight struct {
	x           *Executor
	call        *calls.Call
	shard       ident.Shard
	epoch       ident.Epoch
	fingerprint uint64
	target      *target
	entered     bool
	pass        poison.Pass
	claim       *journl.Claim
	ticket      admit.Ticket
	service     time.Duration
	sent        atomic.Bool
	// waits is when the wait for the upstream's next byte began, in
	// nanoseconds since 1970; zero while nothing is waited for.
	waits  atomic.Int64
	probed atomic.Bool

	mu     sync.Mutex
	cancel context.CancelCauseFunc
	conn   *conn
	mark   int64
	ended  bool
	trace  httptrace.ClientTrace
	// heldBody is the part of the executor's memory that the body takes, in
	// bytes.
	heldBody int64
}

// run takes the call to the upstream. All that it took on the way is given
// back when it returns an error, and when the reply's body is closed
// otherwise.
func (f *flight) run(ctx context.Context) (*calls.Reply, error) {
	if err := f.identify(); err != nil {
		return nil, err
	}
	if err := f.enter(); err != nil {
		return nil, err
	}
	reply, err := f.admit(ctx)
	if err != nil {
		f.fail(err)
		return nil, err
	}
	if reply == nil {
		return f.roundTrip(ctx)
	}
	f.finish(admit.Failed, poison.NotSent, time.Time{})
	return reply, nil
}

// identify reads the start of the body, while the call holds nothing yet.
func (f *flight) identify() *calls.Error {
	if _, err := calls.Buffer(f.call, f.bufferLimit()); err != nil {
		return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
	}
	prefix, err := calls.PeekBody(f.call, poison.PrefixBytes)
	if err != nil {
		return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
	}
	f.fingerprint = poison.Fingerprint(f.call, prefix)
	return nil
}

// enter checks that this member owns the key and counts the call.
func (f *flight) enter() *calls.Error {
	f.target = f.x.target.Load()
	if f.call.Keyed() {
		place, ok := f.x.source().Lookup(f.call.Service, f.call.Hash)
		if !ok {
			return calls.NewNotRun(calls.ReasonNoOwner)
		}
		f.shard = place.Shard
	} else {
		f.shard = ident.Shard{Service: f.call.Service}
	}
	if err := f.x.flights.enter(f); err != nil {
		return err
	}
	f.entered = true
	if err := f.checkOwner(); err != nil {
		f.fail(err)
		return err
	}
	if f.x.meter != nil && f.call.Keyed() {
		f.x.meter.RecordRequest(f.shard, f.call.Hash)
	}
	return nil
}

// checkOwner checks that this member may run the call now, under the epoch
// that was found first.
func (f *flight) checkOwner() *calls.Error {
	if f.target == nil || f.target.service != f.call.Service {
		return calls.NewNotRun(calls.ReasonUpstreamDown)
	}
	if !f.call.Keyed() {
		return nil
	}
	view := f.x.source()
	epoch, ok := view.Serves(f.shard, f.x.clock.Now())
	if ok && (f.epoch == 0 || f.epoch == epoch) {
		f.epoch = epoch
		return nil
	}
	place, _ := view.Lookup(f.call.Service, f.call.Hash)
	switch {
	case place.Owner.IsZero():
		return calls.NewNotRun(calls.ReasonNoOwner)
	case place.Owner == view.Self():
		return calls.NewNotRun(calls.ReasonMoving)
	}
	return calls.NewNotRun(calls.ReasonNotOwner, calls.WithHint(place.Owner))
}

// admit takes the call through quarantine, journal and admission. A reply is
// one that the journal repeats.
func (f *flight) admit(ctx context.Context) (*calls.Reply, error) {
	var err error
	if f.x.quarantine != nil {
		if f.pass, err = f.x.quarantine.Enter(ctx, f.call.Service, f.fingerprint); err != nil {
			return nil, err
		}
	}
	if f.journaled() {
		var reply *calls.Reply
		f.claim, reply, err = f.x.journal.Begin(f.call, f.shard, f.epoch, f.fingerprint)
		if err != nil || reply != nil {
			return reply, err
		}
	}
	if f.x.gate != nil {
		if f.ticket, err = f.x.gate.Acquire(ctx, f.call.Hash, f.call.Deadline); err != nil {
			return nil, err
		}
	}
	if f.claim != nil {
		if err := f.claim.Replicate(ctx); err != nil {
			return nil, err
		}
	}
	if err := f.checkOwner(); err != nil {
		return nil, err
	}
	return nil, nil
}

// journaled reports whether the call's Idempotency-Key is honoured.
func (f *flight) journaled() bool {
	return f.x.journal != nil && f.call.Keyed() && f.call.Idempotency != "" && !f.call.IsIdempotent()
}

// roundTrip sends the call and turns the upstream's answer into a reply.
func (f *flight) roundTrip(ctx context.Context) (*calls.Reply, error) {
	ctx, stop := f.context(ctx)
	request, err := f.request(ctx)
	if err != nil {
		stop()
		e := calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err))
		f.fail(e)
		return nil, e
	}
	start := f.x.clock.Now()
	f.waits.Store(start.UnixNano())
	f.sent.Store(true)
	response, err := f.target.tripper.RoundTrip(request)
	f.waits.Store(0)
	f.service = f.x.clock.Now().Sub(start)
	if err != nil {
		e := f.classify(ctx, err)
		stop()
		f.fail(e)
		return nil, e
	}
	reply, e := f.accept(ctx, response, stop)
	if e != nil {
		_ = response.Body.Close()
		stop()
		f.fail(e)
		return nil, e
	}
	return reply, nil
}

// context returns a context that ends at the call's deadline at the latest. A
// call with a journaled key goes on when its caller goes away, so that the
// caller finds the answer in the journal when it sends the call again.
func (f *flight) context(ctx context.Context) (context.Context, func()) {
	stopTimer := func() {}
	if f.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	if at, ok := ctx.Deadline(); !ok || at.After(f.call.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, f.x.clock, f.call.Deadline)
		stopTimer = cancel
	}
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	return ctx, func() {
		cancel(nil)
		stopTimer()
	}
}

// abort gives the call up for the given cause.
func (f *flight) abort(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// gotConn remembers the connection that carries the call.
func (f *flight) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		// The first connection may have carried bytes of the call.
		f.conn, f.mark = c, c.mark()-1
		return
	}
	f.conn, f.mark = c, c.mark()
}

// connection returns the connection that carries the call, if any, and what
// had been written to it before.
func (f *flight) connection() (*conn, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn, f.mark
}

// fail ends a call that has no answer.
func (f *flight) fail(err error) {
	e := calls.AsError(err)
	if e.Outcome() == calls.Unknown && f.sent.Load() {
		f.finish(admit.Failed, poison.Lost, f.mayActUntil())
		return
	}
	result := admit.Failed
	if e.Reason() == calls.ReasonUpstreamShed {
		result = admit.Refused
	}
	f.finish(result, poison.NotSent, time.Time{})
}

// finish gives back, once, all that the call holds.
func (f *flight) finish(result admit.Result, end poison.End, until time.Time) {
	f.mu.Lock()
	ended := f.ended
	f.ended = true
	f.mu.Unlock()
	if ended {
		return
	}
	if f.claim != nil {
		if end == poison.NotSent {
			f.claim.Forget()
		} else {
			f.claim.Lost()
		}
	}
	f.ticket.Done(result, f.service)
	f.pass.Leave(end)
	if f.entered {
		f.x.flights.leave(f, until)
	}
}

// mayActUntil returns until when an upstream that checks no tokens may work
// on the call; the zero time for any other upstream.
func (f *flight) mayActUntil() time.Time {
	if f.target == nil || f.target.checks.Load() || !f.sent.Load() {
		return time.Time{}
	}
	return f.call.Deadline
}

// ownerHeader puts the host that answered into a reply.
func (f *flight) ownerHeader(h http.Header) {
	if f.x.host != "" {
		h[calls.HeaderOwner] = []string{string(f.x.host)}
	}
}
