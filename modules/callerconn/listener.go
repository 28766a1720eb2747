// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options are the settings of a Listener.
type Options struct {
	// MaxIdleTime returns how long a connection may be idle after a response; the value may change at any time.
	MaxIdleTime func() time.Duration
	// MaxOpen is how many connections may be open; 0 means no limit.
	MaxOpen int
	// OnClose is called with the report of each connection that has ended, and must not block.
	OnClose func(Report)
	Now     func() time.Time
}

// Listener accepts callers' connections and tracks the open ones.
type Listener struct {
	*net.TCPListener

	options      Options
	mutex        sync.Mutex
	open         map[*Conn]bool
	shuttingDown bool
	// changed is signaled when a connection ends or becomes idle, and when the listener is closed.
	changed *sync.Cond
	// closed is set once the listener is closed.
	closed bool
	// drained is closed once the listener is shutting down and no connection is open.
	drained chan struct{}
	// closeOnce closes the listener once; closeErr is the error of that call.
	closeOnce sync.Once
	closeErr  error
}

// NewListener returns a Listener that accepts connections from listener.
func NewListener(listener *net.TCPListener, options Options) *Listener {
	l := &Listener{TCPListener: listener, options: options, open: make(map[*Conn]bool), drained: make(chan struct{})}
	l.changed = sync.NewCond(&l.mutex)
	return l
}

// Accept implements net.Listener. While as many connections are open as allowed, it ends idle ones and accepts none.
func (l *Listener) Accept() (net.Conn, error) {
	l.waitForRoom()
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := &Conn{TCPConn: conn, listener: l, idle: true, idleSince: l.options.Now(), shuttingDown: l.shuttingDown}
	l.open[c] = true
	return c, nil
}

// OpenCount returns the number of open connections.
func (l *Listener) OpenCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open)
}

// Close implements net.Listener. Further calls have no effect and return the error of the first call: the listener is closed by
// a shutdown and again by the HTTP code that serves it.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.closeErr = l.TCPListener.Close()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.closed = true
		l.changed.Broadcast()
	})
	return l.closeErr
}

// BeginShutdown closes the listener and all idle connections. The other connections end after their current response, which must announce that
// with "Connection: close". A request whose first byte was read is served. The error is that of closing the listener.
func (l *Listener) BeginShutdown() error {
	err := l.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.shuttingDown = true
	now := l.options.Now()
	for c := range l.open {
		c.shutDown(now)
	}
	l.signalIfDrained()
	return err
}

// signalIfDrained wakes the callers of Wait if the listener is shutting down and no connection is open; the caller holds the mutex.
func (l *Listener) signalIfDrained() {
	if !l.shuttingDown || len(l.open) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// Wait waits, after BeginShutdown, until no connection is open. If ctx ends first, Wait returns the error of ctx.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StateChanged is the ConnState hook for net/http.
func (l *Listener) StateChanged(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.startIdle(l.options.Now())
		l.signalChange()
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// remove stops tracking a connection that has ended and passes on its report.
func (l *Listener) remove(c *Conn) {
	l.mutex.Lock()
	delete(l.open, c)
	l.changed.Broadcast()
	l.signalIfDrained()
	l.mutex.Unlock()
	l.options.OnClose(c.report())
}

// contextKey is the context key of a request's connection.
type contextKey struct{}

// WithConn is the ConnContext hook for net/http: it returns a context that holds the connection of the requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection held by a request's context, or nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// unwrap returns conn, or the connection below a TLS layer, as a *Conn. It returns nil if that connection is of another type.
func unwrap(conn net.Conn) *Conn {
	if layer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layer.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}
