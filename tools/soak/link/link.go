// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"sync"
	"time"
)

// Mode is how a link treats bytes.
type Mode int

// The modes of a link.
const (
	// Pass passes all on.
	Pass Mode = iota
	// Slow passes all on after a delay.
	Slow
	// Cut passes nothing on; what is sent meanwhile arrives when the link heals.
	Cut
	// Deaf passes nothing on from the target, but all to it.
	Deaf
)

// slowBy is the delay of each piece on a slow link, and pieceBytes the largest piece.
const (
	slowBy     = 150 * time.Millisecond
	pieceBytes = 16 << 10
)

// Link passes connections on to a target.
type Link struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  Mode
	// changed is closed at each change of the mode.
	changed chan struct{}
	open    map[*net.TCPConn]bool
	closed  bool
}

// New opens a link to a target, IP:PORT, on a port of the loopback address.
func New(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), open: make(map[*net.TCPConn]bool)}
	go l.accept()
	return l, nil
}

// Address gives the IP:PORT that leads to the target.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// SetMode changes how bytes are treated from now on.
func (l *Link) SetMode(mode Mode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections; new ones work.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		giveUp(conn)
	}
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	// A listener that cannot be closed ends with the process.
	_ = l.listener.Close()
	l.SetMode(Pass)
	l.Reset()
}

// giveUp resets a connection; an error says that it has ended.
func giveUp(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn.(*net.TCPConn))
	}
}

// pass joins a connection with one to the target.
func (l *Link) pass(near *net.TCPConn) {
	conn, err := net.Dial("tcp4", l.target)
	if err != nil {
		giveUp(near)
		return
	}
	far := conn.(*net.TCPConn)
	if !l.keep(near, far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.carry(near, far, true) })
	both.Go(func() { l.carry(far, near, false) })
	both.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, near)
	delete(l.open, far)
}

// keep notes both connections as open; false once the link is closed.
func (l *Link) keep(near, far *net.TCPConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		giveUp(near)
		giveUp(far)
		return false
	}
	l.open[near], l.open[far] = true, true
	return true
}

// carry passes on what comes from one end until either has ended, and ends the other one.
func (l *Link) carry(from, to *net.TCPConn, toTarget bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		l.await(toTarget)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				giveUp(from)
				return
			}
		}
		if err != nil {
			// The other end learns the end as this one did; a reset has ended both.
			_ = to.CloseWrite()
			return
		}
	}
}

// await waits as long as the mode holds bytes back.
func (l *Link) await(toTarget bool) {
	for {
		l.mutex.Lock()
		mode, changed := l.mode, l.changed
		l.mutex.Unlock()
		switch {
		case mode == Slow:
			time.Sleep(slowBy)
			return
		case mode == Cut, mode == Deaf && !toTarget:
			<-changed
		default:
			return
		}
	}
}
