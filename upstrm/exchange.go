package upstrm

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

// maxDiscardBytes is how many bytes of an unwanted response body are read so that
// its connection can be reused.
const maxDiscardBytes = 4 << 10

// identityEncoding keeps the transport from sending the empty body of a request
// with chunked transfer encoding.
var identityEncoding = []string{"identity"}

// errNoLength is the cause when a response's framing would not reveal that its
// body was truncated.
var errNoLength = errors.New("upstream response has neither a content length nor a chunked encoding")

// request returns the HTTP request for the upstream.
//
// The transport retries a request on its own when it considers it replayable:
// one without a body whose method is safe or that carries an Idempotency-Key.
// It never retries a request with a body that can't be rewound, so every
// request is given such a body.
func (f *inflightCall) request(ctx context.Context) (*http.Request, error) {
	u, err := f.target.url(f.call.Path)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(f.call.Header)+4)
	for name, values := range f.call.Header {
		header[name] = values
	}
	left := f.call.Deadline.Sub(f.executor.clock.Now()).Milliseconds()
	header[calls.HeaderDeadline] = []string{strconv.FormatInt(max(1, left), 10)}
	header[calls.HeaderRequest] = []string{f.call.ID}
	if f.call.Keyed() {
		header[calls.HeaderSlot] = []string{strconv.FormatUint(uint64(f.shard.Slot), 10)}
		header[calls.HeaderEpoch] = []string{strconv.FormatUint(uint64(f.epoch), 10)}
	}
	f.trace.GotConn = f.gotConn
	request := &http.Request{
		Method:        f.call.Method,
		URL:           u,
		Host:          f.target.host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: f.call.Length,
		Body:          f.body(),
	}
	if f.call.Length == 0 {
		request.TransferEncoding = identityEncoding
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &f.trace)), nil
}

// body returns the request's body as a reader that the transport can't rewind.
func (f *inflightCall) body() io.ReadCloser {
	if buffered, ok := f.call.Body.(*calls.Buffered); ok {
		return io.NopCloser(bytes.NewReader(buffered.Bytes()))
	}
	return io.NopCloser(&streamedBody{inflight: f, attempt: f.attempt})
}

// streamedBody is the request body of one attempt to send a call. It does not consume the body
// of the call if the attempt got a sealed connection, so that the next one can send it.
type streamedBody struct {
	inflight *inflightCall
	attempt  int
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	f := b.inflight
	f.mu.Lock()
	usable := f.attempt == b.attempt && !f.sealedBefore
	f.mu.Unlock()
	if !usable {
		return 0, net.ErrClosed
	}
	return f.call.Body.Read(p)
}

// send sends the request and returns the head of the upstream's response. It uses another
// connection if the one from the pool was sealed by the call before.
func (f *inflightCall) send(ctx context.Context, request *http.Request) (*http.Response, error) {
	for {
		response, err := f.target.tripper.RoundTrip(request)
		if err == nil {
			return response, nil
		}
		f.releaseConnection()
		if !f.nextAttempt() {
			return nil, fmt.Errorf("send call: %w", err)
		}
		if request, err = f.request(ctx); err != nil {
			return nil, fmt.Errorf("send call again: %w", err)
		}
	}
}

// classify returns the outcome of a call that ended with a transport error. The
// outcome is not-run only if no byte of the call was written.
func (f *inflightCall) classify(ctx context.Context, err error) *calls.Error {
	written := true
	if c, mark := f.connection(); c != nil {
		written = c.seal(mark)
	} else if f.target.tracksWrites {
		written = false
	}
	cause := context.Cause(ctx)
	if !written {
		f.sent.Store(false)
		switch {
		case errors.Is(cause, context.DeadlineExceeded):
			return calls.NewNotRun(calls.ReasonDeadline, calls.WithCause(err))
		case errors.Is(cause, context.Canceled):
			return calls.NewNotRun(calls.ReasonCanceled, calls.WithCause(err))
		}
		return calls.NewNotRun(calls.ReasonUpstreamDown, calls.WithCause(err))
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return calls.NewUnknown(calls.ReasonDeadline, calls.WithCause(err))
	case errors.Is(cause, context.Canceled):
		return calls.NewUnknown(calls.ReasonCanceled, calls.WithCause(err))
	case cause == nil:
		f.executor.recordLoss(f)
	}
	return calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(err))
}

// handleResponse turns the upstream's response into a reply. A small response,
// or one that fits the memory budget, is buffered; a larger one is streamed.
func (f *inflightCall) handleResponse(ctx context.Context, response *http.Response, stop func()) (*calls.Reply, *calls.Error) {
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(calls.HeaderRan) == "no" {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
		f.sealConnection()
		f.sent.Store(false)
		return nil, refusal(response)
	}
	f.releaseConnection()
	if err := f.checkLease(); err != nil {
		return nil, err
	}
	length := response.ContentLength
	bodyless := f.call.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	if length < 0 && len(response.TransferEncoding) == 0 && !bodyless && f.target.tracksWrites {
		return nil, calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errNoLength))
	}
	f.setOwnerHeader(response.Header)
	reply := &calls.Reply{Status: response.StatusCode, Header: response.Header, Length: length}
	if bodyless {
		length = 0
	}
	if length >= 0 && length <= uncountedBytes {
		return f.bufferResponse(ctx, response, reply, length, stop)
	}
	if length >= 0 && length <= maxBufferedBytes && f.executor.memory.reserve(length) {
		reply, err := f.bufferResponse(ctx, response, reply, length, stop)
		if err != nil {
			f.executor.memory.release(length)
			return nil, err
		}
		reply.Body = &bufferedAnswer{ReadCloser: reply.Body, memory: &f.executor.memory, size: length}
		return reply, nil
	}
	if f.claim != nil {
		f.claim.Done(response.StatusCode, "", nil, false)
	}
	body := calls.CheckBodyLength(response.Body, length)
	reply.Body = &replyBody{ReadCloser: body, inflight: f, stop: stop}
	return reply, nil
}

// sealConnection keeps the connection that carried a refused call from being used again. A
// refusal does not name its call: if the upstream sends it once more, it must not be taken for
// that of the next call on the same connection.
func (f *inflightCall) sealConnection() {
	if c, mark := f.connection(); c != nil {
		c.seal(mark)
	}
	f.releaseConnection()
}

// bufferResponse reads the complete response body into memory and finishes the
// call.
func (f *inflightCall) bufferResponse(ctx context.Context, response *http.Response, reply *calls.Reply, length int64, stop func()) (*calls.Reply, *calls.Error) {
	var data []byte
	if length > 0 {
		data = make([]byte, length)
		if _, err := io.ReadFull(response.Body, data); err != nil {
			return nil, f.classify(ctx, fmt.Errorf("read answer: %w", err))
		}
	}
	_ = response.Body.Close()
	if f.claim != nil {
		f.claim.Done(response.StatusCode, response.Header.Get("Content-Type"), data, true)
	}
	f.finish(admit.Served, poison.Completed, time.Time{})
	stop()
	reply.Body = io.NopCloser(bytes.NewReader(data))
	return reply, nil
}

// checkLease checks, before an answer is returned, that this member has owned
// the key without interruption since the call was sent, and that its lease is
// valid. Otherwise the outcome is unknown.
func (f *inflightCall) checkLease() *calls.Error {
	if !f.call.Keyed() {
		return nil
	}
	view := f.executor.source()
	place, ok := view.Lookup(f.call.Service, f.call.Hash)
	if ok && place.Shard == f.shard && f.ownershipContinues(place.Epoch) && place.Owner == view.Self() &&
		view.LeaseLeft(f.executor.clock.Now()) > 0 {
		return nil
	}
	f.executor.counts.fenced.Inc(1)
	return calls.NewUnknown(calls.ReasonFenced)
}

// ownershipContinues reports whether the ownership under which the call ran has
// lasted without interruption up to the given epoch. A change of successors
// raises the epoch without a change of owner.
func (f *inflightCall) ownershipContinues(epoch ident.Epoch) bool {
	if epoch == f.epoch {
		return true
	}
	if f.executor.since == nil || epoch < f.epoch {
		return false
	}
	since, ok := f.executor.since(f.shard)
	return ok && since <= f.epoch
}

// refusal returns the not-run outcome of a request that the upstream refused
// before it had any effect.
func refusal(response *http.Response) *calls.Error {
	after := time.Duration(0)
	if s, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16); err == nil {
		after = time.Duration(s) * time.Second
	}
	reason := calls.ReasonUpstreamShed
	switch response.StatusCode {
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusForbidden, http.StatusMisdirectedRequest:
		reason = calls.ReasonFenced
	}
	return calls.NewNotRun(reason, calls.WithRetryAfter(after))
}

// replyBody is a streamed response body. Close finishes the call, as served if
// the body was read to its end and as lost otherwise.
type replyBody struct {
	io.ReadCloser
	inflight *inflightCall
	stop     func()
	whole    bool
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	b.inflight.waitingSince.Store(b.inflight.executor.clock.Now().UnixNano())
	n, err := b.ReadCloser.Read(p)
	b.inflight.waitingSince.Store(0)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *replyBody) Close() error {
	err := b.ReadCloser.Close()
	if b.whole {
		b.inflight.finish(admit.Served, poison.Completed, time.Time{})
	} else {
		b.inflight.finish(admit.Failed, poison.Lost, b.inflight.mayActUntil())
	}
	b.stop()
	return err
}
