package upconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// maxStale is the number of answers to earlier calls that are read over.
	maxStale = 3
	// maxWhole is the largest answer that is read to its end before any of it is
	// passed on, in bytes.
	maxWhole = 1 << 20
	// maxSkipped is the largest unwanted answer that is read to keep its
	// connection, in bytes.
	maxSkipped = 64 << 10
	// sendAhead is the largest request that is sent before the answer is read, in
	// bytes. A longer one is sent beside, since an upstream may answer first.
	sendAhead = 8 << 10
	// keepMargin is how much earlier than announced an idle connection is given
	// up.
	keepMargin = 500 * time.Millisecond
)

// Causes of an unknown outcome.
var (
	errGarbage = errors.New("upstream sent an answer that can't be trusted")
	errStale   = errors.New("upstream sent only answers to earlier calls")
)

// Run sends a call to the given life of the upstream and returns its whole
// answer. Its error is a *calls.Error; it says "not run" only if no byte was sent
// or the upstream said so.
func (p *Pool) Run(ctx context.Context, call *calls.Call, instance string) (*calls.Reply, error) {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil, calls.NewNotRun(calls.ReasonTooLarge, calls.WithCause(errors.New("body is not in memory")))
	}
	left := call.Deadline.Sub(p.clock.Now())
	if left <= 0 {
		return nil, calls.NewNotRun(calls.ReasonDeadline)
	}
	c, failure := p.get(ctx, call.Terms.Repeatable)
	if failure != nil {
		return nil, failure
	}
	x := &exchange{pool: p, conn: c, call: call, instance: instance}
	x.age = p.clock.Now().Sub(c.used)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reply, err := x.run(ctx, p.dialect.Request(call, left, instance), body.Bytes())
	if !stop() {
		x.reusable = false
	}
	if x.reusable {
		p.put(c)
	} else if !x.streaming {
		_ = c.Close()
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange is one call on one connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	call     *calls.Call
	instance string
	// age is how long the connection was idle before.
	age       time.Duration
	reusable  bool
	streaming bool
}

func (x *exchange) run(ctx context.Context, request *http.Request, body []byte) (*calls.Reply, *calls.Error) {
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	sent := make(chan error, 1)
	if len(body) <= sendAhead {
		sent <- x.send(request)
	} else {
		go func() { sent <- x.send(request) }()
	}
	for range maxStale {
		response, err := http.ReadResponse(x.conn.br, request)
		if err != nil {
			return nil, x.lost(ctx, fmt.Errorf("read answer: %w", err))
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		switch reading := x.pool.dialect.Read(x.call, x.instance, response); reading {
		case Stale:
			x.pool.counts.stale.Inc(1)
			if response.Close || !skip(response) {
				return nil, x.lost(ctx, errStale)
			}
		case Garbage:
			x.pool.counts.garbage.Inc(1)
			x.pool.log.Info("answer not trusted", "request", x.call.ID, "status", response.StatusCode)
			return nil, calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errGarbage))
		case Mine:
			return x.accept(ctx, response, sent)
		case NotRun, Misdirected, NotHeld:
			x.keep(response, sent, skip(response))
			return nil, refusal(reading, response)
		}
	}
	return nil, x.lost(ctx, errStale)
}

func (x *exchange) send(request *http.Request) error {
	if err := request.Write(x.conn.bw); err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	if err := x.conn.bw.Flush(); err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	return nil
}

// lost returns the outcome of a call that was sent and has no answer.
func (x *exchange) lost(ctx context.Context, err error) *calls.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(err))
	case ctx.Err() != nil:
		return calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	}
	x.pool.counts.lost.Inc(1)
	if !x.conn.fresh && x.conn.br.Buffered() == 0 && x.age > freshAge/2 {
		x.pool.forgotten(x.age)
	}
	return calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(err))
}

// refusal returns the outcome of a call that the upstream did not run.
func refusal(reading Reading, response *http.Response) *calls.Error {
	after := time.Duration(0)
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 60 {
		after = time.Duration(s * float64(time.Second))
	}
	reason := calls.ReasonUpstreamShed
	switch reading {
	case Misdirected:
		reason = calls.ReasonUpstreamDown
	case NotHeld:
		reason = calls.ReasonFenced
	default:
	}
	return calls.NewNotRun(reason, calls.WithRetryAfter(after))
}

// accept reads an answer. A long one is passed on as it comes.
func (x *exchange) accept(ctx context.Context, response *http.Response, sent chan error) (*calls.Reply, *calls.Error) {
	reply := &calls.Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.ContentLength > maxWhole {
		x.streaming = true
		reply.Body = &streamed{body: response.Body, conn: x.conn}
		return reply, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err != nil {
		return nil, x.lost(ctx, fmt.Errorf("read answer's body: %w", err))
	}
	if len(data) > maxWhole {
		x.streaming = true
		reply.Body = &streamed{body: io.NopCloser(io.MultiReader(bytes.NewReader(data), response.Body)), conn: x.conn}
		return reply, nil
	}
	x.keep(response, sent, true)
	reply.Length = int64(len(data))
	reply.Body = calls.NewBuffered(data)
	return reply, nil
}

// keep decides whether the connection can carry another call: the request must be
// sent, the answer read, and nothing may follow it.
func (x *exchange) keep(response *http.Response, sent chan error, whole bool) {
	select {
	case err := <-sent:
		x.reusable = err == nil
	default:
		// The upstream answered before it has read the request.
	}
	x.reusable = x.reusable && whole && !response.Close && x.conn.br.Buffered() == 0
	x.conn.keep = keepTime(response.Header.Get("Keep-Alive"))
}

// keepTime returns how long an idle connection may be used.
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return max(0, time.Duration(s)*time.Second-keepMargin)
		}
	}
	return defaultIdle
}

// skip reads an unwanted answer to its end.
func skip(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkipped+1))
	return err == nil && n <= maxSkipped
}

// streamed is the body of a long answer; its connection is not used again.
type streamed struct {
	body io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (s *streamed) Read(p []byte) (int, error) { return s.body.Read(p) }

// Close implements io.Closer.
func (s *streamed) Close() error { return s.conn.Close() }
