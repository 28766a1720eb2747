// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsClosed reports whether the system has closed a connection in both directions, as it does after a reset or a time-out. It reports these to
// a single call: if that was a write, a read returns io.EOF as after a proper end by the peer. A proper end closes one direction only, unless
// the other one was closed on this side before. A connection of another kind than TCP counts as not closed.
func IsClosed(conn net.Conn) bool {
	tcpConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	// An error of Control means that the connection was closed on this side, one of the option that it is not TCP.
	return err != nil || optionErr == nil && info.State == unix.BPF_TCP_CLOSE
}
