package demo

import (
	"fmt"
	"net"
)

// freeAddr returns a loopback address that nobody listens on.
func freeAddr(udp bool) (string, error) {
	if udp {
		conn, err := net.ListenPacket("udp", loopback)
		if err != nil {
			return "", fmt.Errorf("find a free address: %w", err)
		}
		addr := conn.LocalAddr().String()
		if err := conn.Close(); err != nil {
			return "", fmt.Errorf("free address %s: %w", addr, err)
		}
		return addr, nil
	}
	bound, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	addr := bound.Addr().String()
	if err := bound.Close(); err != nil {
		return "", fmt.Errorf("free address %s: %w", addr, err)
	}
	return addr, nil
}
