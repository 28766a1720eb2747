// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcp

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that are reset when they are closed: data held up by a broken link is discarded instead of arriving when the
// link recovers, long after the caller gave up.
type Dialer struct {
	// Timeout bounds the connection set-up; 0 leaves it to the context.
	Timeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged by the peer before the connection is closed; 0 uses the system's
	// default. A silent peer that has acknowledged everything never ends a connection.
	UserTimeout time.Duration
}

// DialContext opens a connection over IPv4.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := d.prepare(conn.(*net.TCPConn)); err != nil {
		// The connection is not used: the first error states why.
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// prepare sets the socket options: reset on close, and UserTimeout.
func (d Dialer) prepare(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	if d.UserTimeout > 0 {
		return setUserTimeout(conn, d.UserTimeout)
	}
	return nil
}

// EnableKeepAlive makes the kernel send a keep-alive probe to a silent peer each second, and close the connection once no probe was answered for the
// given time, which also bounds unacknowledged sent bytes. A peer whose program is silent still answers probes; a peer that is unreachable,
// or no longer has the connection, does not.
func EnableKeepAlive(conn *net.TCPConn, unanswered time.Duration) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: int(unanswered / keepAliveInterval)})
	if err != nil {
		return err
	}
	return setUserTimeout(conn, unanswered)
}

// DisableKeepAlive undoes EnableKeepAlive and restores the given limit for unacknowledged sent bytes.
func DisableKeepAlive(conn *net.TCPConn, unacknowledged time.Duration) error {
	if err := conn.SetKeepAlive(false); err != nil {
		return err
	}
	return setUserTimeout(conn, unacknowledged)
}

// keepAliveInterval is the time between two probes to a silent peer, the shortest that the system supports. A higher value costs fewer
// packets, a lower one would tolerate more lost probes within the same time.
const keepAliveInterval = time.Second

// setUserTimeout sets TCP_USER_TIMEOUT, the time that sent bytes may stay unacknowledged.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
