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

// Causes for which a call in flight is aborted.
var (
	errCut    = errors.New("connections to the upstream were closed by the daemon")
	errSilent = errors.New("upstream sent no data within the hard timeout")
)

// inflightCall is one call from its admission to the end of its answer.
type inflightCall struct {
	executor    *Executor
	call        *calls.Call
	shard       ident.Shard
	epoch       ident.Epoch
	fingerprint uint64
	target      *target
	registered  bool
	pass        poison.Pass
	claim       *journl.Claim
	ticket      admit.Ticket
	serviceTime time.Duration
	sent        atomic.Bool
	// waitingSince is when the wait for the upstream's next byte began, in
	// Unix nanoseconds; zero while the call does not wait for the upstream.
	waitingSince atomic.Int64
	probed       atomic.Bool

	mu            sync.Mutex
	cancel        context.CancelCauseFunc
	conn          *conn
	writtenBefore int64
	// sealedBefore is set if conn is the call's first connection and was sealed when the
	// call got it, so that no byte of the call was written.
	sealedBefore bool
	// connHeld is set until the next call on conn may proceed.
	connHeld bool
	// attempt counts the sealed connections that the call got.
	attempt  int
	finished bool
	trace    httptrace.ClientTrace
	// reservedBody is the number of bytes reserved for the request body in the
	// executor's memory budget.
	reservedBody int64
}

// run admits the call and sends it to the upstream. The resources that the call
// acquired are released when run returns an error, and otherwise at the latest
// when the reply's body is closed.
func (f *inflightCall) run(ctx context.Context) (*calls.Reply, error) {
	if err := f.fingerprintBody(); err != nil {
		return nil, err
	}
	if err := f.register(); err != nil {
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

// fingerprintBody buffers the start of the body and computes the call's
// fingerprint. It runs before the call holds any resource, so that a slow caller
// does not occupy a slot.
func (f *inflightCall) fingerprintBody() *calls.Error {
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

// register counts the call as in flight and checks that this member owns the
// key.
func (f *inflightCall) register() *calls.Error {
	f.target = f.executor.target.Load()
	if f.call.Keyed() {
		place, ok := f.executor.source().Lookup(f.call.Service, f.call.Hash)
		if !ok {
			return calls.NewNotRun(calls.ReasonNoOwner)
		}
		f.shard = place.Shard
	} else {
		f.shard = ident.Shard{Service: f.call.Service}
	}
	if err := f.executor.inflight.register(f); err != nil {
		return err
	}
	f.registered = true
	if err := f.checkOwner(); err != nil {
		f.fail(err)
		return err
	}
	if f.executor.meter != nil && f.call.Keyed() {
		f.executor.meter.RecordRequest(f.shard, f.call.Hash)
	}
	return nil
}

// checkOwner checks that this member may run the call now. The first check
// records the epoch; later ones require the same epoch.
func (f *inflightCall) checkOwner() *calls.Error {
	if f.target == nil || f.target.service != f.call.Service {
		return calls.NewNotRun(calls.ReasonUpstreamDown)
	}
	if !f.call.Keyed() {
		return nil
	}
	view := f.executor.source()
	epoch, ok := view.Serves(f.shard, f.executor.clock.Now())
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

// admit passes the call through quarantine, journal and admission gate. A
// non-nil reply is the recorded answer from the journal.
func (f *inflightCall) admit(ctx context.Context) (*calls.Reply, error) {
	var err error
	if f.executor.quarantine != nil {
		if f.pass, err = f.executor.quarantine.Enter(ctx, f.call.Service, f.fingerprint); err != nil {
			return nil, err
		}
	}
	if f.journaled() {
		var reply *calls.Reply
		f.claim, reply, err = f.executor.journal.Begin(f.call, f.shard, f.epoch, f.fingerprint)
		if err != nil || reply != nil {
			return reply, err
		}
	}
	if f.executor.gate != nil {
		if f.ticket, err = f.executor.gate.Acquire(ctx, f.call.Hash, f.call.Deadline); err != nil {
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

// journaled reports whether the call's Idempotency-Key is recorded in
// the journal.
func (f *inflightCall) journaled() bool {
	return f.executor.journal != nil && f.call.Keyed() && f.call.Idempotency != "" && !f.call.IsIdempotent()
}

// roundTrip sends the call and turns the upstream's answer into a reply.
func (f *inflightCall) roundTrip(ctx context.Context) (*calls.Reply, error) {
	ctx, stop := f.context(ctx)
	request, err := f.request(ctx)
	if err != nil {
		stop()
		e := calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err))
		f.fail(e)
		return nil, e
	}
	start := f.executor.clock.Now()
	f.waitingSince.Store(start.UnixNano())
	f.sent.Store(true)
	response, err := f.send(ctx, request)
	f.waitingSince.Store(0)
	f.serviceTime = f.executor.clock.Now().Sub(start)
	if err != nil {
		e := f.classify(ctx, err)
		stop()
		f.fail(e)
		return nil, e
	}
	reply, e := f.handleResponse(ctx, response, stop)
	if e != nil {
		_ = response.Body.Close()
		stop()
		f.fail(e)
		return nil, e
	}
	return reply, nil
}

// context returns a context that ends at the call's deadline at the latest. A
// call with a journaled key continues when its caller disconnects, so that the
// caller finds the answer in the journal when it retries the call.
func (f *inflightCall) context(ctx context.Context) (context.Context, func()) {
	stopTimer := func() {}
	if f.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	if at, ok := ctx.Deadline(); !ok || at.After(f.call.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, f.executor.clock, f.call.Deadline)
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

// abort cancels the call with the given cause.
func (f *inflightCall) abort(cause error) {
	f.mu.Lock()
	cancel := f.cancel
	f.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// gotConn records the connection that carries the call.
func (f *inflightCall) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	f.releaseConnection()
	c.acquire()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connHeld = true
	if f.conn != nil {
		// An earlier connection may have carried bytes of the call: one less
		// than the current count makes seal report that bytes were written.
		f.conn, f.writtenBefore, f.sealedBefore = c, c.bytesWritten()-1, false
		return
	}
	f.conn, f.writtenBefore, f.sealedBefore = c, c.bytesWritten(), c.sealed.Load()
}

// connection returns the connection that carries the call, if any, and the
// number of bytes written to it before the call.
func (f *inflightCall) connection() (*conn, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn, f.writtenBefore
}

// releaseConnection lets the next call on the connection proceed. Calls after the first have
// no effect.
func (f *inflightCall) releaseConnection() {
	f.mu.Lock()
	c, held := f.conn, f.connHeld
	f.connHeld = false
	f.mu.Unlock()
	if held {
		c.release()
	}
}

// nextAttempt reports whether the call can be sent on another connection, since the only one
// that it got was sealed before. It drops that one.
func (f *inflightCall) nextAttempt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.sealedBefore {
		return false
	}
	f.conn, f.sealedBefore = nil, false
	f.attempt++
	return true
}

// fail finishes a call that has no answer.
func (f *inflightCall) fail(err error) {
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

// finish releases all resources of the call. Only the first of several calls
// has an effect.
func (f *inflightCall) finish(result admit.Result, end poison.End, until time.Time) {
	f.mu.Lock()
	ended := f.finished
	f.finished = true
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
	f.ticket.Done(result, f.serviceTime)
	f.pass.Leave(end)
	if f.registered {
		f.executor.inflight.unregister(f, until)
	}
}

// mayActUntil returns the time until which an upstream that does not check
// fencing tokens may work on the call, or the zero time for any other upstream
// and for a call that was not sent.
func (f *inflightCall) mayActUntil() time.Time {
	if f.target == nil || f.target.checksTokens.Load() || !f.sent.Load() {
		return time.Time{}
	}
	return f.call.Deadline
}

// setOwnerHeader sets the header that names the host that answered.
func (f *inflightCall) setOwnerHeader(h http.Header) {
	if f.executor.host != "" {
		h[calls.HeaderOwner] = []string{string(f.executor.host)}
	}
}
