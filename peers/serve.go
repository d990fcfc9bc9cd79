package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

const (
	// headerTimeout is the time allowed for the arrival of a call's header.
	headerTimeout = 5 * time.Second
	// smallAnswer is the largest body, in bytes, that is sent in one write with its
	// header.
	smallAnswer = 8 << 10
)

// serve reads one call from the peer, runs it and sends the answer.
func (c *conn) serve(stream *quic.Stream) {
	br := getReader(stream)
	defer putReader(br)
	q := c.q
	timeout := q.opts.clock.AfterFunc(headerTimeout, func() { stream.CancelRead(streamRefused) })
	h, err := readCallHeader(br)
	timeout.Stop()
	if err != nil {
		if errors.Is(err, errHeader) {
			q.log.Error(err, "bad call", "host", c.host)
			err = c.refuse(stream, calls.NewNotRun(calls.ReasonBadRequest, calls.WithCause(err)))
		}
		c.closeStream(stream, streamRefused, err)
		return
	}
	if q.serving.Add(1) > int64(q.opts.maxCalls) {
		q.serving.Add(-1)
		c.closeStream(stream, streamRefused, c.refuse(stream, calls.NewNotRun(calls.ReasonOverload)))
		return
	}
	defer q.serving.Add(-1)
	if h.Confirm {
		if err := c.confirm(stream, br); err != nil {
			c.closeStream(stream, streamRefused, err)
			return
		}
	}
	q.metrics.served.Inc(1)
	c.closeStream(stream, streamTruncated, c.run(stream, br, h))
}

// confirm confirms the header to the calling daemon and waits for the first bytes of the
// body. The call must not run before they arrive.
func (c *conn) confirm(stream *quic.Stream, br *bufio.Reader) error {
	if _, err := stream.Write([]byte{confirmMark}); err != nil {
		return fmt.Errorf("confirm call: %w", err)
	}
	if _, err := br.Peek(lengthSize); err != nil {
		return fmt.Errorf("await body: %w", err)
	}
	return nil
}

// refuse sends the error of a call that was not run.
func (c *conn) refuse(stream *quic.Stream, err *calls.Error) error {
	buf, encodeErr := encodeHeader(newErrorHeader(err))
	if encodeErr != nil {
		return encodeErr
	}
	if _, err := stream.Write(buf); err != nil {
		return fmt.Errorf("refuse call: %w", err)
	}
	return nil
}

// closeStream closes the stream after a complete answer. After an error it resets the
// stream, so that a truncated answer never looks complete.
func (c *conn) closeStream(stream *quic.Stream, code quic.StreamErrorCode, err error) {
	if err != nil {
		stream.CancelWrite(code)
		stream.CancelRead(code)
		return
	}
	_ = stream.Close()
	stream.CancelRead(streamDone)
}

// run passes the call to the handler and sends its answer or error.
func (c *conn) run(stream *quic.Stream, br *bufio.Reader, h callHeader) error {
	now := c.q.opts.clock.Now()
	body := newBodyReader(br, h.Length)
	call := h.call(now, body)
	ctx := stream.Context()
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, c.q.opts.clock, call.Deadline)
		defer cancel()
	}
	reply, err := c.q.handler.Run(ctx, call)
	if err != nil {
		buf, err := encodeHeader(newErrorHeader(err))
		if err != nil {
			return err
		}
		if _, err := stream.Write(buf); err != nil {
			return fmt.Errorf("send error of call: %w", err)
		}
		return nil
	}
	defer func() { _ = reply.Body.Close() }()
	if err := c.sendReply(stream, reply); err != nil {
		return err
	}
	if h.Length == 0 {
		// Reading the end of an empty body avoids a stream reset.
		_, _ = body.Read(make([]byte, 1))
	}
	return nil
}

// sendReply sends an answer. Its header is sent at once, except for an answer of at most
// smallAnswer bytes, which goes out in one write with its header.
func (c *conn) sendReply(stream *quic.Stream, reply *calls.Reply) error {
	buf, err := encodeHeader(replyHeader{
		Outcome:  calls.Answered,
		Status:   reply.Status,
		Header:   reply.Header,
		Length:   reply.Length,
		Replayed: reply.Replayed,
	})
	if err != nil {
		return err
	}
	if reply.Length >= 0 && reply.Length <= smallAnswer {
		combined := &bufferWriter{buf: buf}
		if err := writeBody(combined, reply.Body, reply.Length, func() {}); err != nil {
			return err
		}
		if _, err := stream.Write(combined.buf); err != nil {
			return fmt.Errorf("send answer: %w", err)
		}
		return nil
	}
	if _, err := stream.Write(buf); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return writeBody(stream, reply.Body, reply.Length, func() {})
}

// bufferWriter is an io.Writer that appends to a buffer.
type bufferWriter struct{ buf []byte }

// Write implements io.Writer.
func (j *bufferWriter) Write(p []byte) (int, error) {
	j.buf = append(j.buf, p...)
	return len(p), nil
}
