// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes and writeBufferBytes are the buffers of one connection, in bytes. Larger make fewer system calls for large
	// bodies, smaller take less memory for each connection. Not measured.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// idleMargin is how long before the endpoint's own idle limit a connection is given up. Longer opens connections anew
	// more often, shorter sends more requests into one that is just closed. Not measured.
	idleMargin = 700 * time.Millisecond
)

// connection is one connection to an endpoint; one exchange uses it at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleLimit is how long the endpoint keeps it idle; zero if it did not say.
	idleLimit time.Duration
}

func newConnection(conn net.Conn) *connection {
	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// giveUp closes a connection that is not used again. An error of closing changes nothing then, and nobody waits for it.
func (c *connection) giveUp() {
	_ = c.Close()
}

// usable reports whether an idle connection may carry another request: it is young enough,
// still open, and no surplus bytes have arrived on it.
func (c *connection) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle {
		return false
	}
	if c.idleLimit > 0 && idle > c.idleLimit-idleMargin {
		return false
	}
	return c.reader.Buffered() == 0 && c.quiet()
}

// quiet looks at the socket without waiting: true if there is nothing to read and no end.
func (c *connection) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var octet [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), octet[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = receiveErr == syscall.EAGAIN || receiveErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive remembers the idle limit that an answer announced. One that is no count of seconds is passed over: the client's
// own limit holds then.
func (c *connection) noteKeepAlive(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
