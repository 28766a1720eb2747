// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"net"
	"sync"
)

// stallableListener accepts connections that can be stalled.
type stallableListener struct {
	net.Listener

	mutex sync.Mutex
	open  map[*stallableConn]bool
}

func newStallableListener(listener net.Listener) *stallableListener {
	return &stallableListener{Listener: listener, open: make(map[*stallableConn]bool)}
}

// Accept implements net.Listener.
func (l *stallableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	stallable := &stallableConn{Conn: conn, listener: l, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[stallable] = true
	return stallable, nil
}

// stallOpen stalls all open connections permanently.
func (l *stallableListener) stallOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		close(conn.stalled)
	}
	clear(l.open)
}

// stallableConn is a connection that drops all data in both directions once it is stalled. Neither side gets an error.
type stallableConn struct {
	net.Conn

	listener *stallableListener
	stalled  chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *stallableConn) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	if !c.isStalled() {
		return count, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *stallableConn) Write(content []byte) (int, error) {
	if c.isStalled() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close implements net.Conn.
func (c *stallableConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

func (c *stallableConn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// resetConnection resets a connection of a worker.
func resetConnection(conn net.Conn) {
	if stallable, ok := conn.(*stallableConn); ok {
		// A connection that has already ended needs no reset.
		_ = stallable.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}
