// Package peers carries control messages and forwarded calls between daemons. Quic does
// so over QUIC with mutual TLS: each pair of daemons shares one connection, opened at its
// first use. Web carries calls and documents over HTTP/2, and MemTransport is an in-memory
// transport for tests.
//
// # Usage
//
//	t, err := peers.Listen(addr, tlsConfig, handler, peers.WithClock(clock))
//	t.Send(member, message)
//	reply, err := t.Forward(ctx, member, call)
package peers

import (
	"context"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Transport sends messages and calls to other daemons.
type Transport interface {
	// Send sends a control message without a guarantee of delivery. It never blocks:
	// each peer has a bounded queue that drops its oldest message when full.
	Send(to table.Member, message wire.Message)
	// Forward runs a call at another daemon. An error is always a *calls.Error. Its
	// outcome is calls.NotRun only if it is proved that the peer did not accept any byte
	// of the call, or if the peer reports so.
	Forward(ctx context.Context, to table.Member, call *calls.Call) (*calls.Reply, error)
	// Close closes all connections.
	Close() error
}

// Handler handles what other daemons send. Its methods are called from several
// goroutines. The transport has verified that the sender's certificate names the host in
// message.From.
type Handler interface {
	// Control handles a control message. It must not block.
	Control(message wire.Message)
	// Run serves a forwarded call.
	calls.Executor
}
