package upstrm

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/monsoonmoor/monsoonmoor/admit"
	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

// drainBytes is how much of an unwanted answer is read to keep its connection.
const drainBytes = 4 << 10

// identity keeps the transport from announcing the empty body of a request as
// a chunked one.
var identity = []string{"identity"}

// errNoLength is the cause of an answer that could have been cut unnoticed.
var errNoLength = errors.New("upstream's answer has neither a length nor chunks")

// request returns the HTTP request for the upstream.
//
// The transport sends a request a second time by itself when it takes it for
// replayable: one without a body whose method is safe or that carries an
// Idempotency-Key. It never does that to a request with a body that can't be
// rewound, so every request is given such a body.
func (f *flight) request(ctx context.Context) (*http.Request, error) {
	u, err := f.target.url(f.call.Path)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(f.call.Header)+4)
	for name, values := range f.call.Header {
		header[name] = values
	}
	left := f.call.Deadline.Sub(f.x.clock.Now()).Milliseconds()
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
		request.TransferEncoding = identity
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &f.trace)), nil
}

// body returns the request's body, which the transport can't rewind.
func (f *flight) body() io.ReadCloser {
	if buffered, ok := f.call.Body.(*calls.Buffered); ok {
		return io.NopCloser(bytes.NewReader(buffered.Bytes()))
	}
	return io.NopCloser(f.call.Body)
}

// classify tells the outcome of a call that ended with a transport error. It
// did not run only if no byte of it was written.
func (f *flight) classify(ctx context.Context, err error) *calls.Error {
	written := true
	if c, mark := f.connection(); c != nil {
		written = c.seal(mark)
	} else if f.target.exact {
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
		f.x.lose(f)
	}
	return calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(err))
}

// accept turns the upstream's answer into a reply.
func (f *flight) accept(ctx context.Context, response *http.Response, stop func()) (*calls.Reply, *calls.Error) {
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(calls.HeaderRan) == "no" {
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
		f.sent.Store(false)
		return nil, refusal(response)
	}
	if err := f.checkLease(); err != nil {
		return nil, err
	}
	length := response.ContentLength
	bodyless := f.call.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	if length < 0 && len(response.TransferEncoding) == 0 && !bodyless && f.target.exact {
		return nil, calls.NewUnknown(calls.ReasonUpstreamLost, calls.WithCause(errNoLength))
	}
	f.ownerHeader(response.Header)
	reply := &calls.Reply{Status: response.StatusCode, Header: response.Header, Length: length}
	if bodyless {
		length = 0
	}
	if length >= 0 && length <= freeBytes {
		return f.acceptWhole(ctx, response, reply, length, stop)
	}
	if length >= 0 && length <= maxHeld && f.x.memory.take(length) {
		reply, err := f.acceptWhole(ctx, response, reply, length, stop)
		if err != nil {
			f.x.memory.give(length)
			return nil, err
		}
		reply.Body = &heldAnswer{ReadCloser: reply.Body, memory: &f.x.memory, size: length}
		return reply, nil
	}
	if f.claim != nil {
		f.claim.Done(response.StatusCode, "", nil, false)
	}
	body := calls.CheckBodyLength(response.Body, length)
	reply.Body = &replyBody{ReadCloser: body, flight: f, stop: stop}
	return reply, nil
}

// acceptWhole reads an answer at once and ends the call.
func (f *flight) acceptWhole(ctx context.Context, response *http.Response, reply *calls.Reply, length int64, stop func()) (*calls.Reply, *calls.Error) {
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

// checkLease checks before an answer goes out that this member has held the
// key all the while since it ran the call.
func (f *flight) checkLease() *calls.Error {
	if !f.call.Keyed() {
		return nil
	}
	view := f.x.source()
	place, ok := view.Lookup(f.call.Service, f.call.Hash)
	if ok && place.Shard == f.shard && f.unbroken(place.Epoch) && place.Owner == view.Self() &&
		view.LeaseLeft(f.x.clock.Now()) > 0 {
		return nil
	}
	f.x.counts.fenced.Inc(1)
	return calls.NewUnknown(calls.ReasonFenced)
}

// unbroken reports whether the holding that the call ran under has gone on to
// the given epoch. New successors raise the epoch without a change of owner.
func (f *flight) unbroken(epoch ident.Epoch) bool {
	if epoch == f.epoch {
		return true
	}
	if f.x.since == nil || epoch < f.epoch {
		return false
	}
	since, ok := f.x.since(f.shard)
	return ok && since <= f.epoch
}

// refusal returns the outcome of a request that the upstream refused before
// it had any effect.
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

// replyBody ends the call when the answer was read or is given up.
type replyBody struct {
	io.ReadCloser
	flight *flight
	stop   func()
	whole  bool
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	b.flight.waits.Store(b.flight.x.clock.Now().UnixNano())
	n, err := b.ReadCloser.Read(p)
	b.flight.waits.Store(0)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *replyBody) Close() error {
	err := b.ReadCloser.Close()
	if b.whole {
		b.flight.finish(admit.Served, poison.Completed, time.Time{})
	} else {
		b.flight.finish(admit.Failed, poison.Lost, b.flight.mayActUntil())
	}
	b.stop()
	return err
}
