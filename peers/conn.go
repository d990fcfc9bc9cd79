package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Error codes for closing a connection.
const (
	codeClosed quic.ApplicationErrorCode = iota + 1
	codeIdle
	codeSilent
	codeProtocol
	codeSurplus
)

// Error codes for resetting a stream.
const (
	// streamCanceled means that the calling side no longer wants the answer.
	streamCanceled quic.StreamErrorCode = iota + 1
	// streamTruncated means that a body ended before its end marker.
	streamTruncated
	// streamDone means that the rest of a body is not needed.
	streamDone
	// streamRefused means that the call was not run.
	streamRefused
)

const (
	// controlUrgency is the stream priority that sends control messages before calls.
	controlUrgency = 0
	// controlQueueSize is the number of control frames that can be queued for a
	// connection.
	controlQueueSize = 128
	// maxControlAge is the age at which a queued control message is dropped instead of
	// sent.
	maxControlAge = 2 * time.Second
	// controlReadBuffer is the size in bytes of the buffer that a control stream is read
	// through.
	controlReadBuffer = 1 << 10
)

// conn is one QUIC connection to a peer, dialed or accepted.
type conn struct {
	q        *Quic
	host     ident.Host
	qc       *quic.Conn
	dialed   bool
	addr     string
	instance uint64
	since    time.Duration

	outQueue *ring.Ring[frame]
	send     *quic.SendStream
	recv     *bufio.Reader

	// calls is the number of calls in flight in both directions.
	calls atomic.Int64
	// closing is set when the connection no longer admits new calls.
	closing atomic.Bool
	// lastHeard, lastSent and lastUsed are in the transport's time: when bytes last
	// arrived from the peer, when a control frame that calls for a reply was last sent,
	// and when the connection last carried a call or a control message (probes don't
	// count).
	lastHeard, lastSent, lastUsed atomic.Int64

	// suspect is set while a probe has been unanswered for so long that a replacement
	// connection is dialed.
	suspect atomic.Bool
	// probeSentAt is when the unanswered probe was sent, or zero if there is none. Only
	// the probe loop uses it.
	probeSentAt time.Duration
}

// newConn exchanges hello frames with the peer. It closes the connection when that
// fails.
func newConn(ctx context.Context, q *Quic, qc *quic.Conn, host ident.Host) (*conn, error) {
	c := &conn{q: q, host: host, qc: qc, outQueue: ring.NewDropping[frame](controlQueueSize)}
	stop := context.AfterFunc(ctx, func() {
		_ = qc.CloseWithError(codeProtocol, "no greeting in time")
	})
	defer stop()
	if err := c.exchangeHello(ctx); err != nil {
		_ = qc.CloseWithError(codeProtocol, "no greeting")
		return nil, fmt.Errorf("exchange hello with %s: %w", host, err)
	}
	now := q.now()
	c.since = now
	c.lastHeard.Store(int64(now))
	c.lastUsed.Store(int64(now))
	return c, nil
}

// exchangeHello opens the control stream, sends a hello frame on it and reads the
// hello frame of the peer.
func (c *conn) exchangeHello(ctx context.Context) error {
	var err error
	if c.send, err = c.qc.OpenUniStream(); err != nil {
		return fmt.Errorf("open control stream: %w", err)
	}
	c.send.SetPriority(controlUrgency, false)
	ours, err := newHello(c.q.instance)
	if err != nil {
		return err
	}
	if _, err = c.send.Write(appendFrame(nil, ours)); err != nil {
		return fmt.Errorf("write hello: %w", err)
	}
	stream, err := c.qc.AcceptUniStream(ctx)
	if err != nil {
		return fmt.Errorf("accept control stream: %w", err)
	}
	c.recv = bufio.NewReaderSize(stream, controlReadBuffer)
	peerHello, err := readHello(c.recv)
	if err != nil {
		return err
	}
	c.instance = peerHello.Instance
	return nil
}

// start runs the goroutines of the connection until it is closed, and then calls
// onClosed.
func (c *conn) start(onClosed func()) {
	ctx := c.qc.Context()
	c.q.spawn(func() { c.writeControl(ctx) })
	c.q.spawn(func() { c.readControl() })
	c.q.spawn(func() {
		defer onClosed()
		c.acceptCalls(ctx)
	})
}

// alive reports whether new calls and messages may use the connection.
func (c *conn) alive() bool {
	return !c.closing.Load() && c.qc.Context().Err() == nil
}

// beginCall counts a new call in flight. It returns false when the connection is
// closing.
func (c *conn) beginCall() bool {
	c.calls.Add(1)
	if c.closing.Load() {
		c.calls.Add(-1)
		return false
	}
	c.lastUsed.Store(int64(c.q.now()))
	return true
}

// endCall removes a call from the calls in flight.
func (c *conn) endCall() {
	c.lastUsed.Store(int64(c.q.now()))
	c.calls.Add(-1)
}

// markHeard records that bytes from the peer have arrived now.
func (c *conn) markHeard() {
	c.lastHeard.Store(int64(c.q.now()))
}

// close closes the connection, which aborts the calls on it.
func (c *conn) close(code quic.ApplicationErrorCode, why string) {
	c.closing.Store(true)
	_ = c.qc.CloseWithError(code, why)
}

// closeIdle closes the connection if no call is in flight, and reports whether it did.
func (c *conn) closeIdle() bool {
	c.closing.Store(true)
	if c.calls.Load() != 0 {
		c.closing.Store(false)
		return false
	}
	c.close(codeIdle, "idle")
	return true
}

// enqueue queues a control frame. A full queue drops its oldest frame.
func (c *conn) enqueue(f frame) {
	before := c.outQueue.Dropped()
	c.outQueue.Put(f)
	if c.outQueue.Dropped() != before {
		c.q.metrics.dropped.Inc(1)
	}
}

// writeControl sends queued control frames until the connection is closed. It drops
// messages older than maxControlAge.
func (c *conn) writeControl(ctx context.Context) {
	var buf []byte
	for {
		f, err := c.outQueue.Get(ctx)
		if err != nil {
			return
		}
		if f.kind == frameMessage && c.q.now()-time.Duration(f.queuedAt) > maxControlAge {
			c.q.metrics.dropped.Inc(1)
			continue
		}
		buf = appendFrame(buf[:0], f)
		if !f.noReply {
			c.lastSent.Store(int64(c.q.now()))
		}
		if _, err := c.send.Write(buf); err != nil {
			return
		}
		c.q.metrics.controlOut.add(len(buf))
		if cap(buf) > maxChunk {
			buf = nil
		}
	}
}

// readControl handles the control frames of the peer until the connection is closed.
func (c *conn) readControl() {
	for {
		f, err := readFrame(c.recv)
		if err != nil {
			if errors.Is(err, errFrame) {
				c.q.log.Error(err, "connection closed: malformed control frame", "host", c.host)
				c.close(codeProtocol, "bad control frame")
			}
			return
		}
		c.markHeard()
		c.q.metrics.controlIn.add(frameOverhead + len(f.payload))
		switch f.kind {
		case framePing:
			c.enqueue(frame{kind: framePong, payload: f.payload, noReply: true})
		case frameMessage:
			c.lastUsed.Store(c.lastHeard.Load())
			c.deliver(f.payload)
		case frameHello, framePong:
		}
	}
}

// deliver passes a message to the handler if its sender is the host named in the peer's
// certificate and it is addressed to this incarnation or to none.
func (c *conn) deliver(payload []byte) {
	message, err := wire.Decode(payload)
	if err != nil {
		c.q.log.Error(err, "connection closed: control message not decodable", "host", c.host)
		c.close(codeProtocol, "bad control message")
		return
	}
	if message.From.Host != c.host {
		c.q.metrics.refused.Inc(1)
		c.q.log.Info("control message dropped: sender is not the peer", "host", c.host, "from", message.From)
		return
	}
	if !message.To.IsZero() && message.To != c.q.opts.self() {
		c.q.metrics.refused.Inc(1)
		return
	}
	c.q.handler.Control(message)
}

// acceptCalls serves each stream that the peer opens, until the connection is closed.
func (c *conn) acceptCalls(ctx context.Context) {
	for {
		stream, err := c.qc.AcceptStream(ctx)
		if err != nil {
			<-ctx.Done()
			return
		}
		if !c.beginCall() {
			stream.CancelRead(streamRefused)
			stream.CancelWrite(streamRefused)
			continue
		}
		c.markHeard()
		c.q.spawn(func() {
			defer c.endCall()
			c.serve(stream)
		})
	}
}
