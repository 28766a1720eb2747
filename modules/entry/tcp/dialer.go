// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcp

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that are reset when they are closed: what a cut link held up is
// then lost instead of arriving when the link heals, long after the caller gave up.
type Dialer struct {
	// Timeout bounds the set-up; 0 leaves it to the context.
	Timeout time.Duration
	// Unacknowledged is how long sent bytes may stay without the peer's acknowledgement until the
	// connection is given up; 0 leaves it to the system. Silence of a peer that has acknowledged
	// everything never ends a connection.
	Unacknowledged time.Duration
}

// DialContext opens a connection over IPv4.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := d.prepare(conn.(*net.TCPConn)); err != nil {
		// The connection is given up: the first error says why.
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// prepare sets what makes the connection reset when it is closed, and the bound of Unacknowledged.
func (d Dialer) prepare(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	if d.Unacknowledged > 0 {
		return setUserTimeout(conn, d.Unacknowledged)
	}
	return nil
}

// Probe has the system ask a silent peer each second whether the connection still exists, and end it once no question was answered for
// so long, which also bounds sent bytes without acknowledgement. A peer whose program is silent answers; one that is cut off, or has
// forgotten the connection, does not.
func Probe(conn *net.TCPConn, unanswered time.Duration) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probePause, Interval: probePause, Count: int(unanswered / probePause)})
	if err != nil {
		return err
	}
	return setUserTimeout(conn, unanswered)
}

// EndProbe undoes Probe; the bound of sent bytes without acknowledgement is given anew.
func EndProbe(conn *net.TCPConn, unacknowledged time.Duration) error {
	if err := conn.SetKeepAlive(false); err != nil {
		return err
	}
	return setUserTimeout(conn, unacknowledged)
}

// probePause is the time between two questions to a silent peer, the shortest that the system takes. Longer costs fewer packets, shorter
// would bear more that are lost within the same time.
const probePause = time.Second

// setUserTimeout bounds the time that sent bytes may stay unacknowledged.
func setUserTimeout(conn *net.TCPConn, span time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
