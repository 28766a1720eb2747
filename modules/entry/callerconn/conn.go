// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Reason is why a connection ended.
type Reason string

// The reasons for which connections end.
const (
	// IdleLimit: it was idle for longer than allowed.
	IdleLimit Reason = "idle limit"
	// Stopping: the process ends.
	Stopping Reason = "stopping"
	// CallerEnded: the caller closed or broke it.
	CallerEnded Reason = "caller"
	// BrokenOff: a handler broke its answer off on purpose.
	BrokenOff Reason = "broken off"
	// NoRequest: no whole head of a request came, or one that cannot be read.
	NoRequest Reason = "no request"
	// AfterAnswer: an answer said that it is the last one.
	AfterAnswer Reason = "after an answer"
)

// Report is the account of a connection that ended.
type Report struct {
	Reason Reason
	// Caller is the other end's address.
	Caller netip.AddrPort
	// Requests is how many requests were read from the connection, Unanswered how many of them ended without a whole answer.
	Requests, Unanswered int
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn

	listener *Listener
	mutex    sync.Mutex
	// reason is set once it is known why the connection ends.
	reason Reason
	begun  int
	whole  int
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.EndAs(CallerEnded)
	}
	return n, err
}

// EndAs notes why the connection ends; the first reason stays.
func (c *Conn) EndAs(reason Reason) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason == "" {
		c.reason = reason
	}
}

// BeginRequest notes that a request was read.
func (c *Conn) BeginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun++
}

// EndRequest notes that the request under way got its whole answer.
func (c *Conn) EndRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.whole++
}

// Ended reports the connection's account to its listener. It must be called once, when nobody serves the connection any more: a
// request may be under way when the connection is closed.
func (c *Conn) Ended() {
	c.listener.ended(c.account())
}

// account gives the connection's account.
func (c *Conn) account() Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	report := Report{Reason: c.reason, Requests: c.begun, Unanswered: c.begun - c.whole}
	// Each TCP connection has such an address.
	report.Caller = c.RemoteAddr().(*net.TCPAddr).AddrPort()
	switch {
	case report.Reason != "":
	case report.Unanswered > 0:
		report.Reason = BrokenOff
	case c.begun == 0:
		report.Reason = NoRequest
	default:
		report.Reason = AfterAnswer
	}
	return report
}

// Listener accepts callers' connections.
type Listener struct {
	*net.TCPListener

	ended func(Report)
}

// NewListener wraps a listener; ended gets the account of each connection at its end, and must not block.
func NewListener(listener *net.TCPListener, ended func(Report)) *Listener {
	return &Listener{TCPListener: listener, ended: ended}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: conn, listener: l}, nil
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// Context is a hook of net/http: it keeps a connection in the context of its requests.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if one := unwrap(conn); one != nil {
		return context.WithValue(ctx, contextKey{}, one)
	}
	return ctx
}

// From gives the connection of a request's context; nil for none.
func From(ctx context.Context) *Conn {
	one, _ := ctx.Value(contextKey{}).(*Conn)
	return one
}

// unwrap gives the connection under a TLS layer, or itself; nil for another one.
func unwrap(conn net.Conn) *Conn {
	if layer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layer.NetConn()
	}
	one, _ := conn.(*Conn)
	return one
}
