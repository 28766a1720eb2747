// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// connection is a caller's connection to an instance.
type connection struct {
	*net.TCPConn

	reader *bufio.Reader
	target Target
	// uses is the number of requests that were sent on the connection. idleSince is when the connection was opened or its last answer
	// ended.
	uses      int
	idleSince time.Time
}

// dialTimeout is the time-out of a new connection. The platform's own callers use the same value.
const dialTimeout = time.Second

func dial(target Target) (*connection, error) {
	conn, err := net.DialTimeout("tcp4", target.Callers, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), target: target, idleSince: time.Now()}, nil
}

// closedByPeer reports, without blocking, whether the instance's close of the connection has arrived.
func (c *connection) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(descriptor uintptr) {
		n, _, failed := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = (n == 0 && failed == nil) || (failed != nil && !errors.Is(failed, unix.EAGAIN))
	})
	return ended || err != nil
}

// discard closes a connection that is not used again, so that an error of closing it does not matter.
func (c *connection) discard() {
	_ = c.Close()
}
