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
	// uses is how many requests were sent on it; since is when it was opened or the last answer ended.
	uses  int
	since time.Time
}

// dialTimeout is what the platform's callers give a new connection to come up.
const dialTimeout = time.Second

func dial(target Target) (*connection, error) {
	conn, err := net.DialTimeout("tcp4", target.Callers, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), target: target, since: time.Now()}, nil
}

// hasEnded reports whether the instance's end of the connection has arrived, without waiting for it.
func (c *connection) hasEnded() bool {
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

// giveUp closes a connection that is not used again; an error of closing changes nothing then.
func (c *connection) giveUp() {
	_ = c.Close()
}
