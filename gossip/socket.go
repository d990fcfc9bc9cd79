package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/go-logr/logr"
)

// Socket sends and receives messages as UDP datagrams. Delivery is not guaranteed.
type Socket struct {
	conn *net.UDPConn
	log  logr.Logger
	done sync.WaitGroup
}

// Listen opens a socket on a UDP address and starts a goroutine that passes each received message to handle. Close
// stops it.
func Listen(addr string, handle func(Message), log logr.Logger) (*Socket, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve UDP address %q: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("listen on UDP address: %w", err)
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
				log.V(1).Info("failed to read datagram", "err", err.Error())
				continue
			}
			m, err := DecodeMessage(buf[:n])
			if err != nil {
				log.Info("malformed datagram dropped", "bytes", n, "err", err.Error())
				continue
			}
			handle(m)
		}
	}()
	return s, nil
}

// Addr returns the address that the socket is bound to.
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends a message to an address. It logs failures and does not retry.
func (s *Socket) Send(addr string, m Message) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.log.Info("datagram not sent: invalid address", "to", addr, "err", err.Error())
		return
	}
	data, err := m.Encode()
	if err != nil {
		s.log.Error(err, "datagram not sent: failed to encode message", "to", addr)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.log.V(1).Info("failed to send datagram", "to", addr, "err", err.Error())
	}
}

// Close closes the socket and waits for its goroutine to return.
func (s *Socket) Close() error {
	err := s.conn.Close()
	s.done.Wait()
	if err != nil {
		return fmt.Errorf("close UDP socket: %w", err)
	}
	return nil
}
