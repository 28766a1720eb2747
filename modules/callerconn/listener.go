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
	// IdleLimit is how long a connection may rest after an answer; it may change at any time.
	IdleLimit func() time.Duration
	// Ended gets the account of each connection at its end, and must not block.
	Ended func(Report)
	Now   func() time.Time
}

// Listener accepts callers' connections and knows those that are open.
type Listener struct {
	*net.TCPListener

	options Options
	mutex   sync.Mutex
	open    map[*Conn]bool
	leaving bool
	// empty is closed once the listener leaves and no connection is open.
	empty chan struct{}
	// closing closes the listener once, with the error closeError.
	closing    sync.Once
	closeError error
}

// NewListener wraps a listener.
func NewListener(listener *net.TCPListener, options Options) *Listener {
	return &Listener{TCPListener: listener, options: options, open: make(map[*Conn]bool), empty: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one := &Conn{TCPConn: conn, listener: l, resting: true, since: l.options.Now(), leaving: l.leaving}
	l.open[one] = true
	return one, nil
}

// Close implements net.Listener. A further call changes nothing and has the first one's error: a stop closes the listener, and so does
// who serves it.
func (l *Listener) Close() error {
	l.closing.Do(func() { l.closeError = l.TCPListener.Close() })
	return l.closeError
}

// Leave closes the listener, ends the connections that rest and has the others end after their answer, which must say so. A request
// whose first byte was read is served. Its error is that of closing the listener.
func (l *Listener) Leave() error {
	failed := l.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
	now := l.options.Now()
	for one := range l.open {
		one.leave(now)
	}
	l.closeIfEmpty()
	return failed
}

// closeIfEmpty tells who waits that no connection is left; the caller holds the mutex.
func (l *Listener) closeIfEmpty() {
	if !l.leaving || len(l.open) > 0 {
		return
	}
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// Wait waits, after Leave, until no connection is open or the context ends, whose error it gives.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StateChanged is a hook of net/http.
func (l *Listener) StateChanged(conn net.Conn, state http.ConnState) {
	one := unwrap(conn)
	if one == nil {
		return
	}
	switch state {
	case http.StateIdle:
		one.rest(l.options.Now())
	case http.StateClosed, http.StateHijacked:
		l.forget(one)
	}
}

// forget takes a connection out that nobody serves any more, and reports its account.
func (l *Listener) forget(one *Conn) {
	l.mutex.Lock()
	delete(l.open, one)
	l.closeIfEmpty()
	l.mutex.Unlock()
	l.options.Ended(one.account())
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
