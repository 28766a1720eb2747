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
	// limit is the number of connections that may be open; 0 means no limit. resets counts those beyond it.
	limit, resets int
}

func newStallableListener(listener net.Listener) *stallableListener {
	return &stallableListener{Listener: listener, open: make(map[*stallableConn]bool)}
}

// Accept implements net.Listener.
func (l *stallableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.add(conn); accepted != nil {
			return accepted, nil
		}
		resetConnection(conn)
	}
}

// add returns a new connection, or nil if too many are open.
func (l *stallableListener) add(conn net.Conn) net.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.resets++
		return nil
	}
	stallable := &stallableConn{Conn: conn, listener: l, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.open[stallable] = true
	return stallable
}

// setLimit sets how many connections may be open; 0 means no limit.
func (l *stallableListener) setLimit(limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

// resetCount returns how many connections were reset because too many were open.
func (l *stallableListener) resetCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.resets
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
	direct := conn
	if stallable, ok := conn.(*stallableConn); ok {
		direct = stallable.Conn
	}
	if tcp, ok := direct.(*net.TCPConn); ok {
		// A connection that has already ended needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
