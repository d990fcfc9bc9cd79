package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// confirmMark is the byte that a peer sends to confirm that it has received a call's
// header.
const confirmMark = 0x01

// errUnconfirmed reports a peer that sent an answer before it was allowed to run the
// call.
var errUnconfirmed = errors.New("peer answered before it confirmed the call")

// Forward implements Transport. The context should end at the call's deadline; the peer
// is sent the earlier of the two. Call.Body is read until it ends, the answer is closed
// or reading the answer fails, possibly after Forward has returned; Call.Body must not
// block once its caller has gone.
func (q *Quic) Forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error) {
	deadline := call.Deadline
	if d, ok := ctx.Deadline(); ok && (deadline.IsZero() || d.Before(deadline)) {
		deadline = d
	}
	header := newCallHeader(call, q.opts.clock.Now(), deadline, q.opts.needsConfirm(call))
	buf, err := encodeHeader(header)
	if err != nil {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(err))
	}
	p := q.peer(to.Inc.Host)
	if p == nil {
		return nil, calls.NewNotRun(calls.ReasonDraining)
	}
	c, err := p.connect(ctx, to.Peer)
	if err != nil {
		return nil, notRun(ctx, calls.ReasonPeerDown, err)
	}
	if !c.beginCall() {
		return nil, calls.NewNotRun(calls.ReasonPeerDown)
	}
	stream, err := c.qc.OpenStream()
	if err != nil {
		c.endCall()
		if errors.Is(err, &quic.StreamLimitReachedError{}) {
			return nil, calls.NewNotRun(calls.ReasonOverload, calls.WithCause(err))
		}
		return nil, calls.NewNotRun(calls.ReasonPeerDown, calls.WithCause(err))
	}
	q.metrics.forwarded.Inc(1)
	x := newExchange(ctx, c, stream, header.Confirm)
	reply, failure := x.run(buf, call)
	if failure != nil {
		x.release(streamCanceled)
		return nil, failure
	}
	return reply, nil
}

// exchange is the sending side of one forwarded call.
type exchange struct {
	ctx    context.Context
	conn   *conn
	stream *quic.Stream
	br     *bufio.Reader
	stop   func() bool
	// confirm is set when the peer must confirm the header and runs the call only after
	// the first bytes of its body.
	confirm bool
	// mayRun is set before the first byte is sent that allows the peer to run the call.
	mayRun atomic.Bool
	// sent is set when the whole call has been sent.
	sent atomic.Bool
	// headerSentAt is when sending of the header started, in the transport's time.
	headerSentAt time.Duration
	released     atomic.Bool
}

func newExchange(ctx context.Context, c *conn, stream *quic.Stream, confirm bool) *exchange {
	x := &exchange{ctx: ctx, conn: c, stream: stream, br: getReader(stream), confirm: confirm}
	x.stop = context.AfterFunc(ctx, func() {
		stream.CancelWrite(streamCanceled)
		stream.CancelRead(streamCanceled)
	})
	return x
}

// run sends the call and returns once the header of the answer has arrived.
func (x *exchange) run(header []byte, call *calls.Call) (*calls.Reply, *calls.Error) {
	if x.ctx.Err() != nil {
		return nil, notRun(x.ctx, calls.ReasonCanceled, x.ctx.Err())
	}
	x.headerSentAt = x.conn.q.now()
	headerOnly := !x.confirm && call.Length == 0
	if headerOnly {
		header = append(header, endMarker[:]...)
	}
	if !x.confirm {
		x.mayRun.Store(true)
	}
	if _, err := x.stream.Write(header); err != nil {
		return nil, x.fail(fmt.Errorf("send call: %w", err))
	}
	if headerOnly {
		x.closeSend()
	} else if failure := x.sendAfterHeader(call); failure != nil {
		return nil, failure
	}
	h, err := readReplyHeader(x.br)
	if err != nil {
		return nil, x.fail(fmt.Errorf("read answer: %w", err))
	}
	x.conn.markHeard()
	if err := h.err(); err != nil {
		return nil, err
	}
	return x.reply(h)
}

// sendAfterHeader waits for the confirmation if one was asked for, and then sends the
// body.
func (x *exchange) sendAfterHeader(call *calls.Call) *calls.Error {
	if x.confirm {
		if h, err := x.awaitConfirmation(); err != nil {
			return x.fail(err)
		} else if h != nil {
			return h
		}
	}
	x.sendBody(call)
	return nil
}

// closeSend closes the sending side of the stream after the whole call has been sent.
func (x *exchange) closeSend() {
	x.sent.Store(true)
	_ = x.stream.Close()
}

// awaitConfirmation waits until the peer confirms the header. It returns a *calls.Error
// when the peer refuses the call, and an error when the exchange breaks.
func (x *exchange) awaitConfirmation() (*calls.Error, error) {
	mark, err := x.br.ReadByte()
	if err != nil {
		return nil, fmt.Errorf("await confirmation: %w", err)
	}
	x.conn.markHeard()
	if mark == confirmMark {
		if x.ctx.Err() != nil {
			return nil, fmt.Errorf("await confirmation: %w", x.ctx.Err())
		}
		return nil, nil
	}
	if err := x.br.UnreadByte(); err != nil {
		return nil, fmt.Errorf("await confirmation: %w", err)
	}
	h, err := readReplyHeader(x.br)
	if err != nil {
		return nil, fmt.Errorf("await confirmation: %w", err)
	}
	if h.Outcome != calls.NotRun {
		return nil, errUnconfirmed
	}
	return h.err(), nil
}

// sendBody sends the body; a body that is not empty is sent while the answer is awaited.
func (x *exchange) sendBody(call *calls.Call) {
	markMayRun := func() { x.mayRun.Store(true) }
	send := func() {
		if err := writeBody(x.stream, call.Body, call.Length, markMayRun); err != nil {
			x.stream.CancelWrite(streamTruncated)
			return
		}
		x.closeSend()
	}
	if call.Length == 0 {
		send()
		return
	}
	if !x.conn.q.spawn(send) {
		x.stream.CancelWrite(streamTruncated)
	}
}

// reply returns the answer that follows the header. The end of an empty body is read
// immediately, which returns the reader to its pool and avoids a stream reset.
func (x *exchange) reply(h replyHeader) (*calls.Reply, *calls.Error) {
	reply := &calls.Reply{Status: h.Status, Header: h.Header, Length: h.Length, Replayed: h.Replayed}
	if reply.Header == nil {
		reply.Header = map[string][]string{}
	}
	body := newBodyReader(x.br, h.Length)
	if h.Length != 0 {
		reply.Body = &answerBody{x: x, body: body}
		return reply, nil
	}
	if _, err := body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, x.fail(fmt.Errorf("read end of answer: %w", err))
	}
	x.release(streamDone)
	putReader(x.br)
	reply.Body = http.NoBody
	return reply, nil
}

// release ends the exchange once: it resets the open directions of the stream.
func (x *exchange) release(code quic.StreamErrorCode) {
	if x.released.Swap(true) {
		return
	}
	x.stop()
	if !x.sent.Load() {
		x.stream.CancelWrite(code)
	}
	x.stream.CancelRead(code)
	x.conn.endCall()
}

// fail returns the outcome of a call whose exchange failed with err.
func (x *exchange) fail(err error) *calls.Error {
	if isConnectionLost(err) {
		// The streams of a connection fail before its context is canceled.
		x.conn.closing.Store(true)
	}
	if !x.mayRun.Load() || x.provedNotRun(err) {
		return notRun(x.ctx, calls.ReasonPeerLost, err)
	}
	return calls.NewUnknown(failureReason(x.ctx, calls.ReasonPeerLost), calls.WithCause(err))
}

// provedNotRun reports whether the error proves that the peer did not run the call: it
// reset the stream with streamRefused, or it closed the connection with codeIdle. A peer
// closes a connection as idle only when no call has run on it for the idle timeout, so
// it can't have accepted a call sent less than half that time ago.
func (x *exchange) provedNotRun(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) {
		return stream.Remote && stream.ErrorCode == streamRefused
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		age := x.conn.q.now() - x.headerSentAt
		return app.Remote && app.ErrorCode == codeIdle && age < x.conn.q.opts.idleTimeout/2
	}
	return false
}

// isConnectionLost reports whether the error of a stream means that its connection has
// ended.
func isConnectionLost(err error) bool {
	var reset *quic.StatelessResetError
	var idle *quic.IdleTimeoutError
	var transport *quic.TransportError
	var app *quic.ApplicationError
	return errors.As(err, &reset) || errors.As(err, &idle) || errors.As(err, &transport) || errors.As(err, &app)
}

// notRun returns a NotRun error with the reason from failureReason.
func notRun(ctx context.Context, reason calls.Reason, err error) *calls.Error {
	return calls.NewNotRun(failureReason(ctx, reason), calls.WithCause(err))
}

// failureReason returns the reason for a failure: deadline or canceled if the context
// has ended, else the given reason.
func failureReason(ctx context.Context, reason calls.Reason) calls.Reason {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return calls.ReasonDeadline
	case err != nil:
		return calls.ReasonCanceled
	}
	return reason
}

// answerBody is the body of an answer. The exchange ends when the body is closed or has
// been read to its end. Close may be called while Read runs.
type answerBody struct {
	x    *exchange
	body *bodyReader
	err  error
}

// errReadClosed reports a Read after Close.
var errReadClosed = errors.New("read on a closed answer body")

// Read implements io.Reader.
func (a *answerBody) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if a.x.released.Load() {
		return 0, errReadClosed
	}
	n, err := a.body.Read(p)
	if n > 0 {
		a.x.conn.markHeard()
	}
	switch {
	case errors.Is(err, io.EOF):
		a.err = io.EOF
		a.x.release(streamDone)
		putReader(a.x.br)
	case err != nil:
		reason := failureReason(a.x.ctx, calls.ReasonPeerLost)
		a.err = calls.NewUnknown(reason, calls.WithCause(err))
		a.x.release(streamCanceled)
	}
	return n, a.err
}

// Close implements io.Closer. It discards the unread part of the answer.
func (a *answerBody) Close() error {
	a.x.release(streamCanceled)
	return nil
}
