// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// ListenerOptions are the settings of a Listener.
type ListenerOptions struct {
	// MaxOpen is how many connections may be open, MaxOpenFrom how many of them from one host.
	MaxOpen, MaxOpenFrom int
	// OnRefuse is called when a connection is refused, at most once in refusalNoticeInterval, with the host and how many were refused so far.
	// It must not block.
	OnRefuse func(from netip.Addr, refused int)
	Now      func() time.Time
}

// refusalNoticeInterval is the least time between two notices of refused connections. A higher value logs less while many are refused, a lower
// one tells more hosts.
const refusalNoticeInterval = time.Second

// Listener accepts connections up to a number, and closes further ones at once. Unlike one that leaves them unaccepted, it still accepts those
// of other hosts while one host has too many.
type Listener struct {
	net.Listener

	options ListenerOptions
	mutex   sync.Mutex
	open    int
	byHost  map[netip.Addr]int
	refused int
	// noticedAt is when OnRefuse was called last.
	noticedAt time.Time
}

// NewListener returns a Listener that accepts connections from listener.
func NewListener(listener net.Listener, options ListenerOptions) *Listener {
	return &Listener{Listener: listener, options: options, byHost: make(map[netip.Addr]int)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn)
		if l.take(host) {
			return &countedConn{Conn: conn, listener: l, host: host}, nil
		}
		// Nothing was sent or received, so that an error has no consequence.
		_ = conn.Close()
		l.noticeRefusal(host, l.options.Now())
	}
}

// noticeRefusal counts a refused connection and calls OnRefuse if it is time. Only the goroutine of Accept calls it.
func (l *Listener) noticeRefusal(host netip.Addr, now time.Time) {
	l.refused++
	if now.Sub(l.noticedAt) < refusalNoticeInterval {
		return
	}
	l.noticedAt = now
	l.options.OnRefuse(host, l.refused)
}

// hostOf returns the address of a connection's other end; all those without an address count as one host.
func hostOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// take counts a connection, unless too many are open.
func (l *Listener) take(host netip.Addr) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.options.MaxOpen || l.byHost[host] >= l.options.MaxOpenFrom {
		return false
	}
	l.open++
	l.byHost[host]++
	return true
}

// release counts the end of a connection.
func (l *Listener) release(host netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	l.byHost[host]--
	if l.byHost[host] == 0 {
		delete(l.byHost, host)
	}
}

// countedConn is a connection that its listener counts until it is closed.
type countedConn struct {
	net.Conn
	listener  *Listener
	host      netip.Addr
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.release(c.host) })
	return c.Conn.Close()
}
