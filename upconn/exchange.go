package upconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// maxResponses is the number of HTTP responses that are read in search of the
	// call's answer, informational responses and answers to earlier calls included.
	maxResponses = 3
	// maxBufferedAnswer is the largest answer, in bytes, that is read to its end
	// before it is returned. A longer one is streamed.
	maxBufferedAnswer = 1 << 20
	// maxDiscarded is the largest body of an unwanted answer, in bytes, that is read
	// so that its connection can be reused.
	maxDiscarded = 64 << 10
	// maxSyncSend is the largest request body, in bytes, for which the request is sent
	// before the answer is read. A larger request is sent concurrently, since an
	// upstream may answer before it has read the whole request.
	maxSyncSend = 8 << 10
	// keepAliveMargin is subtracted from the idle timeout that the upstream announces,
	// so that the connection is abandoned before the upstream closes it.
	keepAliveMargin = 500 * time.Millisecond
)

// Causes of an unknown outcome.
var (
	errInvalidAnswer = errors.New("upstream sent an invalid answer")
	errStale         = errors.New("upstream sent only answers to earlier calls")
)

// Run sends a call to the given instance of the upstream and returns the answer. An
// error is always a *calls.Error. Its outcome is calls.NotRun only if no byte was
// sent or the upstream reported that it did not run the call. A reply whose body is longer
// than maxBufferedAnswer is streamed; reading its body fails once ctx is done.
func (p *Pool) Run(ctx context.Context, call *calls.Call, instance string) (*calls.Reply, error) {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(errors.New("request body is not in memory")))
	}
	left := call.Deadline.Sub(p.clock.Now())
	if left <= 0 {
		return nil, calls.NewNotRun(calls.ReasonDeadline)
	}
	c, failure := p.get(ctx, call)
	if failure != nil {
		return nil, failure
	}
	x := &exchange{pool: p, conn: c, call: call, instance: instance}
	x.idleTime = p.clock.Now().Sub(c.lastUsed)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reply, err := x.run(ctx, p.dialect.Request(call, left, instance), body)
	if x.streaming {
		// The call runs until its body has been read, and ctx bounds it until then.
		reply.Body = calls.OnClose(reply.Body, func() { stop() })
		return reply, nil
	}
	if !stop() {
		x.reusable = false
	}
	if x.reusable {
		p.put(c)
	} else {
		_ = c.Close()
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange is the transmission of one call on one connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	call     *calls.Call
	instance string
	// idleTime is how long the connection was idle before the call.
	idleTime time.Duration
	// reusable is set when the connection can carry another call.
	reusable bool
	// streaming is set when the reply's body owns the connection.
	streaming bool
}

// run sends the request and reads responses until it finds the call's answer.
func (x *exchange) run(ctx context.Context, request *http.Request, body *calls.Buffered) (*calls.Reply, *calls.Error) {
	length := body.Len()
	request.Body = io.NopCloser(body.Reader())
	request.ContentLength = int64(length)
	if length == 0 {
		request.Body = http.NoBody
	}
	sent := make(chan error, 1)
	if length <= maxSyncSend {
		sent <- x.send(request)
	} else {
		go func() { sent <- x.send(request) }()
	}
	for range maxResponses {
		response, err := x.conn.readHead(request)
		if err != nil {
			return nil, x.lostError(ctx, err)
		}
		if response.StatusCode < http.StatusContinue {
			return nil, x.invalidAnswer(response)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		switch reading := x.pool.dialect.Classify(x.call, x.instance, response); reading {
		case Stale:
			x.pool.counts.stale.Inc(1)
			if response.Close || !discardBody(response) {
				return nil, x.lostError(ctx, errStale)
			}
		case Invalid:
			return nil, x.invalidAnswer(response)
		case Matched:
			x.readSlowness(response)
			return x.readAnswer(ctx, response, sent)
		case NotRun, Misdirected, KeyNotHeld:
			x.updateReusable(response, sent, discardBody(response))
			x.recordRefusal(response)
			return nil, notRunError(reading, response)
		}
	}
	return nil, x.lostError(ctx, errStale)
}

// invalidAnswer returns the outcome Unknown for a call that got an invalid answer.
func (x *exchange) invalidAnswer(response *http.Response) *calls.Error {
	x.pool.counts.garbage.Inc(1)
	x.pool.log.Info("upstream sent an invalid answer", "request", x.call.ID, "status", response.StatusCode)
	return calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errInvalidAnswer))
}

// readSlowness reports what the answer says of the upstream's load.
func (x *exchange) readSlowness(response *http.Response) {
	d, ok := x.pool.dialect.(LoadDialect)
	if !ok {
		return
	}
	value, err := d.Slowness(response)
	if err != nil {
		x.pool.counts.badLoad.Inc(1)
		x.pool.log.Info("load of the upstream ignored", "request", x.call.ID, "err", err.Error())
		return
	}
	if value > 0 {
		x.pool.onSlowness(value)
	}
}

// recordRefusal keeps a refusal that the upstream sends once more from being taken for that of
// a later call: the call it names is not sent on this connection again, and after one that
// names no call the connection is not reused.
func (x *exchange) recordRefusal(response *http.Response) {
	named := x.pool.dialect.Identifies(x.call, response)
	x.reusable = x.reusable && named && x.conn.recordRefusal(x.call.ID)
}

// send writes the request to the connection.
func (x *exchange) send(request *http.Request) error {
	if err := request.Write(x.conn.bw); err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	if err := x.conn.bw.Flush(); err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	return nil
}

// lostError returns the outcome Unknown for a call that was sent and has no answer.
// The call may have failed because the upstream had silently closed an idle
// connection. If the connection was reused after some idle time and no data has
// arrived, the pool is told, so that it keeps idle connections for a shorter time.
func (x *exchange) lostError(ctx context.Context, err error) *calls.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(err))
	case ctx.Err() != nil:
		return calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	}
	x.pool.counts.lost.Inc(1)
	if !x.conn.unused && x.conn.br.Buffered() == 0 && x.idleTime > maxNonRepeatableIdle/2 {
		x.pool.recordSilentClose(x.idleTime)
	}
	return calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(err))
}

// notRunError returns the outcome NotRun for a call that the upstream did not run. It
// passes on a Retry-After of less than 60 s.
func notRunError(reading AnswerKind, response *http.Response) *calls.Error {
	after := time.Duration(0)
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 60 {
		after = time.Duration(s * float64(time.Second))
	}
	reason := calls.ReasonUpstreamShed
	switch reading {
	case Misdirected:
		reason = calls.ReasonUpstreamDown
	case KeyNotHeld:
		reason = calls.ReasonFenced
	default:
	}
	return calls.NewNotRun(reason, calls.WithRetryAfter(after))
}

// readAnswer returns the reply for an answer that belongs to the call. An answer of
// at most maxBufferedAnswer bytes is read to its end; a longer one is streamed.
func (x *exchange) readAnswer(
	ctx context.Context, response *http.Response, sent chan error) (*calls.Reply, *calls.Error) {

	reply := &calls.Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframedBody{ReadCloser: response.Body, sent: sent}
	}
	if response.ContentLength > maxBufferedAnswer {
		x.streaming = true
		reply.Body = &streamingBody{body: response.Body, conn: x.conn}
		return reply, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err != nil {
		return nil, x.lostError(ctx, fmt.Errorf("read answer's body: %w", err))
	}
	if len(data) > maxBufferedAnswer {
		x.streaming = true
		reply.Body = &streamingBody{body: io.NopCloser(io.MultiReader(bytes.NewReader(data), response.Body)), conn: x.conn}
		return reply, nil
	}
	x.updateReusable(response, sent, true)
	reply.Length = int64(len(data))
	reply.Body = calls.NewBuffered(data)
	return reply, nil
}

// updateReusable determines whether the connection can carry another call: the request
// must be sent completely, the answer's body read, and no data may follow it.
func (x *exchange) updateReusable(response *http.Response, sent chan error, bodyRead bool) {
	select {
	case err := <-sent:
		x.reusable = err == nil
	default:
		// The upstream answered before it has read the whole request.
	}
	x.reusable = x.reusable && bodyRead && !response.Close && x.conn.br.Buffered() == 0
	x.conn.idleTimeout = parseKeepAlive(response.Header.Get("Keep-Alive"))
}

// parseKeepAlive returns how long a connection may be idle and still be reused: the
// timeout of a Keep-Alive header less keepAliveMargin, or defaultIdleTimeout.
func parseKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return max(0, time.Duration(s)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleTimeout
}

// discardBody reads the body of an unwanted answer to its end. It returns false when
// the body is longer than maxDiscarded or can't be read.
func discardBody(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscarded+1))
	return err == nil && n <= maxDiscarded
}

// unframedBody is the body of an answer that ends with its connection. A reset of the
// connection is reported once: if the request is still being written then, its writer may
// get the error, and the reader only the end of the input. So the answer is whole only if
// the request was sent whole.
type unframedBody struct {
	io.ReadCloser
	// sent holds the result of sending the request once that has ended.
	sent chan error
}

// Read implements io.Reader. At the end of the input it waits until the request was sent,
// which the end of the call's context bounds.
func (u *unframedBody) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	sendErr := <-u.sent
	u.sent <- sendErr
	if sendErr != nil {
		return n, fmt.Errorf("answer without length cut off: %w", sendErr)
	}
	return n, err
}

// streamingBody is the body of an answer that is longer than maxBufferedAnswer. Close
// closes the connection, which is not reused.
type streamingBody struct {
	body io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (s *streamingBody) Read(p []byte) (int, error) { return s.body.Read(p) }

// Close implements io.Closer. The connection may have been closed at the end of the call's
// context.
func (s *streamingBody) Close() error {
	if err := s.conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close connection of streamed answer: %w", err)
	}
	return nil
}
