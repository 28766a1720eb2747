// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"sync"
	"time"
)

// Mode is how a link forwards bytes.
type Mode int

// The modes of a link.
const (
	// Pass forwards all bytes without delay.
	Pass Mode = iota
	// Slow forwards all bytes after a delay.
	Slow
	// Cut forwards nothing. Bytes that are sent meanwhile arrive after the mode has changed to one that forwards them.
	Cut
	// OneWay forwards bytes to the target, but none from the target.
	OneWay
)

// slowDelay is the delay of each chunk on a slow link, and chunkBytes the maximum size of a chunk.
const (
	slowDelay  = 150 * time.Millisecond
	chunkBytes = 16 << 10
)

// Link forwards connections to a target.
type Link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  Mode
	// modeChanged is closed and replaced at each change of the mode.
	modeChanged chan struct{}
	open        map[*net.TCPConn]bool
	closed      bool
}

// New starts a link to a target, IP:PORT, that listens on a free port of the loopback address.
func New(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, modeChanged: make(chan struct{}), open: make(map[*net.TCPConn]bool)}
	go l.accept()
	return l, nil
}

// Address returns the IP:PORT at which the link accepts connections.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetMode changes the mode for all bytes that have not been forwarded yet.
func (l *Link) SetMode(mode Mode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = mode
	close(l.modeChanged)
	l.modeChanged = make(chan struct{})
}

// Reset resets all open connections. New connections are accepted as before.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		reset(conn)
	}
}

// Close closes the listener and resets all open connections.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	// If closing fails, the listener is closed at the end of the process.
	_ = l.listener.Close()
	l.SetMode(Pass)
	l.Reset()
}

// reset resets a connection. Errors are ignored, because they mean that the connection has already ended.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn.(*net.TCPConn))
	}
}

// forward connects an accepted connection with a new connection to the target, and returns when both directions have ended.
func (l *Link) forward(client *net.TCPConn) {
	conn, err := net.Dial("tcp4", l.target)
	if err != nil {
		reset(client)
		return
	}
	upstream := conn.(*net.TCPConn)
	if !l.track(client, upstream) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pipe(client, upstream, true) })
	both.Go(func() { l.pipe(upstream, client, false) })
	both.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, client)
	delete(l.open, upstream)
}

// track adds both connections to the open ones. If the link is closed, it resets them and returns false.
func (l *Link) track(client, upstream *net.TCPConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		reset(client)
		reset(upstream)
		return false
	}
	l.open[client], l.open[upstream] = true, true
	return true
}

// pipe forwards bytes in one direction until one of the connections has ended, and then ends the other one.
func (l *Link) pipe(from, to *net.TCPConn, toTarget bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		l.awaitMode(toTarget)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			// Forward the end of the stream. After a reset the call has no effect, because both connections are closed.
			_ = to.CloseWrite()
			return
		}
	}
}

// awaitMode returns when the mode allows bytes of the direction to be forwarded.
func (l *Link) awaitMode(toTarget bool) {
	for {
		l.mutex.Lock()
		mode, modeChanged := l.mode, l.modeChanged
		l.mutex.Unlock()
		switch {
		case mode == Slow:
			time.Sleep(slowDelay)
			return
		case mode == Cut, mode == OneWay && !toTarget:
			<-modeChanged
		default:
			return
		}
	}
}
