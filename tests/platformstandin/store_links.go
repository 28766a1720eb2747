// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"net"
	"sync"
)

// silentListener takes connections that may fall silent.
type silentListener struct {
	net.Listener

	mutex sync.Mutex
	open  map[*silentConn]bool
}

func newSilentListener(listener net.Listener) *silentListener {
	return &silentListener{Listener: listener, open: make(map[*silentConn]bool)}
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	one := &silentConn{Conn: conn, listener: l, silenced: make(chan struct{}), closed: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[one] = true
	return one, nil
}

// silence lets all open connections fall silent for good.
func (l *silentListener) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for one := range l.open {
		close(one.silenced)
	}
	clear(l.open)
}

// silentConn is a connection that loses, once it has fallen silent, all that is sent on it in both directions; neither side is told.
type silentConn struct {
	net.Conn

	listener *silentListener
	silenced chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *silentConn) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	if !c.isSilent() {
		return count, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *silentConn) Write(content []byte) (int, error) {
	if c.isSilent() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}
