// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// finalReadWindow is how long a read goes on after its deadline, to pick up bytes that have already arrived. A longer window tolerates
	// a reading goroutine that is scheduled late; a shorter one closes idle connections closer to their timeout.
	finalReadWindow = 10 * time.Millisecond
	// firstRequestWindow is how long, during a shutdown, a newly accepted connection may still send its first request. A longer window
	// serves callers that the load balancer sent just before the shutdown; a shorter one completes the shutdown sooner.
	firstRequestWindow = 250 * time.Millisecond
	// maxDrainTime and maxDrainBytes bound what is read from a caller after a response that ended with its connection. Higher values let slower
	// callers receive the end of the response, lower ones free the connections sooner.
	maxDrainTime  = time.Second
	maxDrainBytes = 1 << 20
	// defaultLinger is the value for net.TCPConn.SetLinger that makes the system send what is left after a close.
	defaultLinger = -1
)

// Conn is an accepted connection of a caller.
type Conn struct {
	*net.TCPConn

	listener *Listener
	mutex    sync.Mutex
	// idle is set while no byte of the next request has been read. reused is set once a response was sent on the connection.
	idle, reused bool
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// headSince is when the first byte of a request's head arrived; zero if no head is being received.
	headSince time.Time
	// shuttingDown makes the connection end as soon as no received bytes are left to read.
	shuttingDown bool
	// endingEarly makes a connection without a request end in the same way, to make room for others.
	endingEarly bool
	// readDeadline is the read deadline set by net/http. interrupted is set if that deadline had already passed when it was set: net/http
	// does so to end a read at once.
	readDeadline time.Time
	interrupted  bool
	// drainOnClose is set if the connection is drained before it is closed.
	drainOnClose bool
	// finalRead is set once a read was repeated for finalReadWindow after its deadline.
	finalRead bool
	// reason is why the connection ends; empty until a reason is recorded.
	reason Reason
	// started counts the requests that were read, completed those that were answered in full.
	started, completed int
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(buffer)
		switch {
		case n > 0:
			return n, errors.Join(err, c.endIdle(c.listener.options.Now()))
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.retryRead(c.listener.options.Now()) {
				continue
			}
		case err != nil && !errors.Is(err, net.ErrClosed):
			c.setReason(ReasonClosedByCaller)
		}
		return n, err
	}
}

// endIdle marks the connection as no longer idle, so that the request's own deadlines apply. net/http sets a deadline only after it has
// read the first few bytes of a request; until then the idle timeout applies again from now.
func (c *Conn) endIdle(now time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.idle && !c.finalRead {
		return nil
	}
	deadline := c.readDeadline
	if c.idle && c.reused && deadline.IsZero() {
		deadline = now.Add(c.listener.options.MaxIdleTime())
	}
	if c.idle {
		c.headSince = now
	}
	c.idle, c.endingEarly = false, false
	return c.TCPConn.SetReadDeadline(deadline)
}

// retryRead reports whether a read whose deadline has passed is repeated, and sets its new deadline.
func (c *Conn) retryRead(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.interrupted && !c.idle {
		return false
	}
	next := now.Add(finalReadWindow)
	if end := c.idleSince.Add(c.listener.options.MaxIdleTime()); c.idle && c.reused && !c.endsSoon() && now.Before(end) {
		// The idle timeout was raised while the connection was idle.
		next = end
	} else if c.finalRead {
		c.recordIdleEnd()
		return false
	} else {
		c.finalRead = true
	}
	return c.TCPConn.SetReadDeadline(next) == nil
}

// recordIdleEnd sets the reason for which an idle connection ends; the caller holds the mutex.
func (c *Conn) recordIdleEnd() {
	switch {
	case c.reason != "":
	case c.endingEarly:
		c.reason = ReasonConnectionLimit
	case !c.idle:
	case c.shuttingDown:
		c.reason = ReasonShutdown
	case c.reused:
		c.reason = ReasonIdleTimeout
	}
}

// SetReadDeadline implements net.Conn. While the connection is idle, the idle timeout or the shutdown takes precedence over deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.listener.options.Now()
	c.readDeadline, c.finalRead = deadline, false
	if !c.idle && deadline.IsZero() {
		// net/http has the whole head.
		c.endHead()
	}
	c.interrupted = !deadline.IsZero() && !deadline.After(now)
	if c.reused && !deadline.IsZero() && !c.interrupted {
		// The next request was received together with the previous one, and net/http now reads its header from its own buffer.
		c.idle = false
	}
	return c.TCPConn.SetReadDeadline(c.effectiveDeadline(now))
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// effectiveDeadline returns the read deadline that applies in the current state; the caller holds the mutex.
func (c *Conn) effectiveDeadline(now time.Time) time.Time {
	switch {
	case !c.idle && !c.endingEarly:
		return c.readDeadline
	case c.endingEarly, c.shuttingDown && c.reused:
		return now.Add(finalReadWindow)
	case c.shuttingDown:
		return now.Add(firstRequestWindow)
	case c.reused:
		return c.idleSince.Add(c.listener.options.MaxIdleTime())
	default:
		return c.readDeadline
	}
}

// endsSoon reports whether the connection ends before its idle timeout; the caller holds the mutex.
func (c *Conn) endsSoon() bool {
	return c.shuttingDown || c.endingEarly
}

// startIdle marks the connection as idle after a response. net/http then sets the read deadline.
func (c *Conn) startIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle, c.reused, c.idleSince = true, true, now
}

// shutDown makes the connection end as soon as no received bytes are left to read. The error of SetReadDeadline is ignored: it means that
// the connection has already ended.
func (c *Conn) shutDown(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shuttingDown = true
	if c.idle {
		_ = c.TCPConn.SetReadDeadline(c.effectiveDeadline(now))
	}
}

// setReason records why the connection ends, unless a reason is already recorded.
func (c *Conn) setReason(reason Reason) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason == "" {
		c.reason = reason
	}
}

// BeginRequest counts a request that was read.
func (c *Conn) BeginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.started++
	c.endHead()
}

// endHead records that the head of a request was read, so that the connection no longer ends early; the caller holds the mutex.
func (c *Conn) endHead() {
	c.headSince, c.endingEarly = time.Time{}, false
}

// EndRequest counts the current request as answered in full.
func (c *Conn) EndRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.completed++
}

// SetResetOnClose sets whether the connection ends with a reset when it is closed, also by the end of the process, and then discards bytes that
// were not sent yet. A nil Conn, as of a connection that another listener accepted, is left unchanged.
func (c *Conn) SetResetOnClose(enabled bool) error {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	c.drainOnClose = !enabled
	c.mutex.Unlock()
	if enabled {
		return c.SetLinger(0)
	}
	return c.SetLinger(defaultLinger)
}

// Close closes the connection. After SetResetOnClose was disabled again, what the caller still sends is read first: the system would reset a
// connection with unread bytes, and the caller would lose the end of its response.
func (c *Conn) Close() error {
	if c.takeDrain() {
		c.drain()
	}
	return c.TCPConn.Close()
}

// takeDrain reports whether the connection is to be drained, and that only once.
func (c *Conn) takeDrain() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	drain := c.drainOnClose
	c.drainOnClose = false
	return drain
}

// drain ends the own direction, and reads until the caller ends its direction or a limit is reached. Errors are ignored because the connection is
// closed afterwards in any case.
func (c *Conn) drain() {
	if c.CloseWrite() != nil || c.TCPConn.SetReadDeadline(c.listener.options.Now().Add(maxDrainTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxDrainBytes)
}

// report returns the report of a connection that has ended.
func (c *Conn) report() Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := Report{Reason: c.reason, Requests: c.started, Unanswered: c.started - c.completed}
	// The remote address of a TCP connection is always a *net.TCPAddr.
	r.Caller = c.RemoteAddr().(*net.TCPAddr).AddrPort()
	switch {
	case r.Reason != "":
	case r.Unanswered > 0:
		r.Reason = ReasonAborted
	case c.started == 0:
		r.Reason = ReasonNoRequest
	default:
		r.Reason = ReasonAfterResponse
	}
	return r
}
