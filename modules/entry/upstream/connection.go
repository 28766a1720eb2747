// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/entry/tcp"
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of the buffers of one connection. Higher values make fewer system calls for large
	// bodies, lower ones take less memory per connection.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// idleMargin is how long before the endpoint's own idle limit a connection is no longer reused. A higher value opens connections more
	// often, a lower one sends more requests on a connection that the endpoint is just closing.
	idleMargin = 700 * time.Millisecond
	// silenceBeforeProbes is how long an endpoint may send nothing during an exchange before the kernel starts keep-alive probes. A higher
	// value costs fewer packets, a lower one detects a dead connection sooner.
	silenceBeforeProbes = time.Second
	// probeTimeout is how long keep-alive probes may go unanswered before the connection is closed. At one probe a second, at least three
	// in a row were lost, which happens to about one in 5,000 on a link that loses three packets in 100. A higher value keeps dead
	// connections for longer, a lower one closes streams on a lossy link.
	probeTimeout = 4500 * time.Millisecond
)

// connection is a connection to an endpoint, used by one exchange at a time.
type connection struct {
	net.Conn
	// peer is the address of the instance through which the connection leads; not valid for a connection over an own link.
	peer netip.AddrPort
	// answered is set once an answer has begun to arrive.
	answered  bool
	reader    *bounded.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleLimit is how long the endpoint keeps the connection idle; zero if it announced no limit.
	idleLimit    time.Duration
	silenceProbe silenceProbe
}

// silenceProbe enables TCP keep-alive probes while an endpoint is silent during an exchange. An exchange is not ended for silence, so only
// these probes distinguish a dead connection from a slow endpoint.
type silenceProbe struct {
	mutex sync.Mutex
	timer *time.Timer
	// inExchange is set during an exchange, enabled while the kernel sends probes.
	inExchange, enabled bool
}

// startSilenceTimer starts to monitor an exchange for silence of the endpoint.
func (c *connection) startSilenceTimer() {
	c.silenceProbe.mutex.Lock()
	defer c.silenceProbe.mutex.Unlock()
	c.silenceProbe.inExchange = true
	if c.silenceProbe.timer == nil {
		c.silenceProbe.timer = time.AfterFunc(silenceBeforeProbes, c.enableProbes)
		return
	}
	c.silenceProbe.timer.Reset(silenceBeforeProbes)
}

// recordActivity restarts the silence timer after data from the endpoint.
func (c *connection) recordActivity() {
	c.silenceProbe.mutex.Lock()
	defer c.silenceProbe.mutex.Unlock()
	if c.silenceProbe.inExchange && !c.silenceProbe.enabled {
		c.silenceProbe.timer.Reset(silenceBeforeProbes)
	}
}

// enableProbes makes the kernel send keep-alive probes. An error means that the connection has ended, which its next use reports.
func (c *connection) enableProbes() {
	c.silenceProbe.mutex.Lock()
	defer c.silenceProbe.mutex.Unlock()
	if conn, ok := c.Conn.(*net.TCPConn); ok && c.silenceProbe.inExchange && !c.silenceProbe.enabled {
		c.silenceProbe.enabled = tcp.EnableKeepAlive(conn, probeTimeout) == nil
	}
}

// stopProbes stops the silence timer and the probes. It returns false if the former socket options could not be restored.
func (c *connection) stopProbes() bool {
	c.silenceProbe.mutex.Lock()
	defer c.silenceProbe.mutex.Unlock()
	c.silenceProbe.inExchange = false
	if c.silenceProbe.timer != nil {
		c.silenceProbe.timer.Stop()
	}
	if !c.silenceProbe.enabled {
		return true
	}
	c.silenceProbe.enabled = false
	conn, ok := c.Conn.(*net.TCPConn)
	return ok && tcp.DisableKeepAlive(conn, unacknowledgedTimeout) == nil
}

func newConnection(conn net.Conn) *connection {
	return &connection{
		Conn:   conn,
		reader: bounded.NewReader(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// closeIgnoringError closes a connection that is not used again, so that an error has no consequence.
func (c *connection) closeIgnoringError() {
	_ = c.Close()
}

// usable reports whether an idle connection may carry another request: it is within both idle limits, still open, and has received no
// surplus bytes.
func (c *connection) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle {
		return false
	}
	if c.idleLimit > 0 && idle > c.idleLimit-idleMargin {
		return false
	}
	return c.reader.Buffered() == 0 && c.nothingToRead()
}

// nothingToRead reports, without blocking, whether the socket has no data to read and is not closed by the peer.
func (c *connection) nothingToRead() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	var buffer [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = receiveErr == syscall.EAGAIN || receiveErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && nothingToRead
}

// recordKeepAlive records the idle limit that an answer announced. A value that is no number of seconds is ignored, so that only the
// client's own limit applies.
func (c *connection) recordKeepAlive(header http.Header) {
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
