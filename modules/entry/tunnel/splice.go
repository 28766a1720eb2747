// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/tcp"
	"github.com/shelfledge/shelfledge/modules/tcpstate"
)

const (
	// copyBytes is the size of the buffer of each direction. A higher value makes fewer system calls for large bodies, a lower one takes
	// less memory.
	copyBytes = 4 << 10
	// probeTimeout is how long keep-alive probes to a silent endpoint may go unanswered before the tunnel ends. A higher value tolerates a
	// lossy link, a lower one ends dead tunnels sooner.
	probeTimeout = 4500 * time.Millisecond
)

// splice connects a connection from another instance with one to an endpoint.
type splice struct {
	caller, endpoint *side
}

// side is one of the two connections of a splice.
type side struct {
	net.Conn
	// unwritten is set while a write is under way, and after one that failed.
	unwritten atomic.Bool
}

// Write implements net.Conn.
func (s *side) Write(content []byte) (int, error) {
	s.unwritten.Store(true)
	n, err := s.Conn.Write(content)
	if err == nil {
		s.unwritten.Store(false)
	}
	return n, err
}

// endedProperly reports whether the end of the connection, which a read has reported, was a proper one. After a reset, the write of the other
// direction may have got the error instead of the read.
func (s *side) endedProperly() bool {
	return !s.unwritten.Load() || !tcpstate.IsClosed(s.Conn)
}

// newSplice returns a splice that copies nothing until run is called. The connections are reset when they are closed, also by the end of
// the process: the other instance would otherwise take the close for the end of an answer without a length.
func newSplice(caller, endpoint net.Conn) *splice {
	for _, conn := range []net.Conn{caller, endpoint} {
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection has ended, which the first read reports.
			_ = tcpConn.SetLinger(0)
			_ = tcp.EnableKeepAlive(tcpConn, probeTimeout)
		}
	}
	return &splice{caller: &side{Conn: caller}, endpoint: &side{Conn: endpoint}}
}

// run copies bytes in both directions and returns at once; ended is called when both directions have ended.
func (s *splice) run(ended func()) {
	var directions sync.WaitGroup
	directions.Go(func() { s.copy(s.endpoint, s.caller) })
	directions.Go(func() { s.copy(s.caller, s.endpoint) })
	go func() {
		directions.Wait()
		s.reset()
		ended()
	}()
}

// copy copies one direction. A proper end is passed on, and any other end resets both connections.
func (s *splice) copy(to, from *side) {
	// The wrappers hide the methods by which io would copy inside the kernel, which takes a pipe for each direction.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBytes))
	if err != nil || !from.endedProperly() || closeWrite(to.Conn) != nil {
		s.reset()
	}
}

// closeWrite passes on the end of a direction.
func closeWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return conn.Close()
}

// reset closes both connections.
func (s *splice) reset() {
	closeIgnoringError(s.caller)
	closeIgnoringError(s.endpoint)
}

// closeIgnoringError closes what is not used again, so that an error has no consequence.
func closeIgnoringError(closer io.Closer) {
	_ = closer.Close()
}
