// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package datagram

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// MaxBytes is the size of the largest datagram that is sent or received, which fits into a packet of any usual network.
const MaxBytes = 1200

// ErrTooLarge is returned for a datagram of more than MaxBytes.
var ErrTooLarge = errors.New("datagram: too large")

// Socket is a UDP socket. Send and Receive may run at the same time.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket that sends from an address and receives there.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	return &Socket{conn: conn}, nil
}

// Address returns the address of the socket.
func (s *Socket) Address() netip.AddrPort {
	address, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return unmap(address.AddrPort())
}

// Send sends one datagram. Without an error it may be lost all the same.
func (s *Socket) Send(to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxBytes {
		return ErrTooLarge
	}
	if _, err := s.conn.WriteToUDPAddrPort(payload, to); err != nil {
		return fmt.Errorf("datagram: %w", err)
	}
	return nil
}

// Receive waits for one datagram and returns it in a part of the buffer, which must have more than MaxBytes. The error is ErrTooLarge for a
// datagram that was cut, and wraps net.ErrClosed after Close.
func (s *Socket) Receive(buffer []byte) ([]byte, netip.AddrPort, error) {
	count, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("datagram: %w", err)
	}
	if count > MaxBytes {
		return nil, unmap(from), ErrTooLarge
	}
	return buffer[:count], unmap(from), nil
}

// Close closes the socket and ends Receive.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// unmap returns an IPv4 address as such where the system tells it within an IPv6 address.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
