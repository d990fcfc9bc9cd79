package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/go-logr/logr"
)

// Socket carries messages between daemons as datagrams. Messages may be lost.
type Socket struct {
	conn *net.UDPConn
	log  logr.Logger
	done sync.WaitGroup
}

// Listen opens a socket on a UDP address and passes every message that arrives
// to take, from one goroutine. Close ends it.
func Listen(addr string, take func(Message), log logr.Logger) (*Socket, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("parse datagram address %q: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	s := &Socket{conn: conn, log: log}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		buf := make([]byte, MaxMessage)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.V(1).Info("datagram not read", "err", err.Error())
				continue
			}
			m, err := DecodeMessage(buf[:n])
			if err != nil {
				log.Info("datagram ignored", "bytes", n, "err", err.Error())
				continue
			}
			take(m)
		}
	}()
	return s, nil
}

// Addr returns the address that the socket is bound to.
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends a message to an address, or loses it.
func (s *Socket) Send(addr string, m Message) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.log.Info("datagram not sent", "to", addr, "err", err.Error())
		return
	}
	data, err := m.Encode()
	if err != nil {
		s.log.Error(err, "datagram not sent", "to", addr)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.log.V(1).Info("datagram not sent", "to", addr, "err", err.Error())
	}
}

// Close ends the socket.
func (s *Socket) Close() error {
	err := s.conn.Close()
	s.done.Wait()
	if err != nil {
		return fmt.Errorf("close datagram socket: %w", err)
	}
	return nil
}
