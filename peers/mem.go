package peers

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/ring"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// memQueueSize is the number of control messages that can be queued for a handler.
const memQueueSize = 1024

// errLinkCut reports that a link of a Network is cut.
var errLinkCut = errors.New("link is cut")

// MemTransport is the in-memory Transport of one host of a Network. It has the outcomes that
// Transport defines: a call whose link is cut has not run; one whose answer is lost on
// the return link has an unknown outcome.
type MemTransport struct {
	network *Network
	host    ident.Host
	handler Handler
	in      *ring.Ring[[]byte]
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

var _ Transport = (*MemTransport)(nil)

// Send implements Transport.
func (m *MemTransport) Send(to table.Member, message wire.Message) {
	payload, err := wire.Encode(message)
	if err != nil || m.ctx.Err() != nil {
		return
	}
	if peer := m.network.destination(m.host, to); peer != nil && !m.network.dropsNext(m.host, to.Inc.Host) {
		peer.in.Put(payload)
	}
}

// Forward implements Transport.
func (m *MemTransport) Forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error) {
	peer := m.network.destination(m.host, to)
	if peer == nil || m.ctx.Err() != nil || peer.ctx.Err() != nil {
		return nil, notRun(ctx, calls.ReasonPeerDown, errLinkCut)
	}
	if ctx.Err() != nil {
		return nil, notRun(ctx, calls.ReasonCanceled, ctx.Err())
	}
	received := *call
	received.Header = call.Header.Clone()
	received.Hops++
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(peer.ctx, cancel)
	defer stop()
	reply, err := peer.handler.Run(ctx, &received)
	if m.network.destination(peer.host, table.Member{Inc: ident.Incarnation{Host: m.host}}) == nil {
		if err == nil {
			_ = reply.Body.Close()
		}
		return nil, calls.NewUnknown(failureReason(ctx, calls.ReasonPeerLost), calls.WithCause(errLinkCut))
	}
	if err != nil {
		return nil, calls.AsError(err)
	}
	return bufferReply(ctx, reply)
}

// bufferReply reads the whole answer into memory, so that a later fault of a link does
// not affect it.
func bufferReply(ctx context.Context, reply *calls.Reply) (*calls.Reply, error) {
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return nil, calls.NewUnknown(failureReason(ctx, calls.ReasonPeerLost), calls.WithCause(err))
	}
	if reply.Length >= 0 && int64(len(body)) != reply.Length {
		return nil, calls.NewUnknown(calls.ReasonPeerLost, calls.WithCause(errBody))
	}
	copied := *reply
	copied.Body = io.NopCloser(bytes.NewReader(body))
	return &copied, nil
}

// Close implements Transport.
func (m *MemTransport) Close() error {
	m.network.remove(m)
	m.cancel()
	<-m.done
	return nil
}

// deliver passes queued messages to the handler until the transport is closed.
func (m *MemTransport) deliver(ctx context.Context) {
	for {
		payload, err := m.in.Get(ctx)
		if err != nil {
			return
		}
		if message, err := wire.Decode(payload); err == nil {
			m.handler.Control(message)
		}
	}
}
