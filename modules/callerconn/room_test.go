// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/callerconn"
)

// roomServer serves HTTP on a listener with few connections. A request whose path is /wait is answered once proceed is closed.
type roomServer struct {
	t        *testing.T
	listener *callerconn.Listener
	proceed  chan struct{}
	reports  chan callerconn.Report
}

func newRoomServer(t *testing.T, maxOpen int) *roomServer {
	t.Helper()
	s := &roomServer{t: t, proceed: make(chan struct{}), reports: make(chan callerconn.Report, 100)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.listener = callerconn.NewListener(listener.(*net.TCPListener), callerconn.Options{
		MaxIdleTime: func() time.Duration { return longIdle }, MaxOpen: maxOpen, Now: time.Now,
		OnClose: func(r callerconn.Report) { s.reports <- r },
	})
	server := &http.Server{
		ConnState: s.listener.StateChanged, ReadHeaderTimeout: testTimeout, IdleTimeout: -1,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/wait" {
				<-s.proceed
			}
		}),
	}
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// begin opens a connection and sends a request.
func (s *roomServer) begin(path string) net.Conn {
	s.t.Helper()
	conn, err := net.DialTimeout("tcp4", s.listener.Addr().String(), testTimeout)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(s.t, err)
	return conn
}

// isAnswered reports whether the answer to a request arrives.
func isAnswered(conn net.Conn) bool {
	buffer := make([]byte, 500)
	n, err := conn.Read(buffer)
	return err == nil && strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200")
}

func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	const maxOpen = 4
	s := newRoomServer(t, maxOpen)
	waiting := s.begin("/wait")
	var first net.Conn
	for number := range 20 {
		conn := s.begin("/")
		require.True(t, isAnswered(conn), "caller %d", number)
		if number == 0 {
			first = conn
		}
		assert.LessOrEqual(t, s.listener.OpenCount(), maxOpen)
	}
	_, err := first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection that is idle for the longest time ends")
	assert.Equal(t, callerconn.ReasonConnectionLimit, (<-s.reports).Reason)
	close(s.proceed)
	assert.True(t, isAnswered(waiting), "a request in flight is not cut off")
}

func TestNewConnectionWaitsWhileAllAreInUse(t *testing.T) {
	const maxOpen = 3
	s := newRoomServer(t, maxOpen)
	var conns []net.Conn
	for range maxOpen + 1 {
		conns = append(conns, s.begin("/wait"))
	}
	time.Sleep(shortIdle)
	assert.LessOrEqual(t, s.listener.OpenCount(), maxOpen)
	close(s.proceed)
	for _, conn := range conns {
		assert.True(t, isAnswered(conn))
	}
}

func TestConnectionsEndWithResponseBeforeRoomIsUsedUp(t *testing.T) {
	s := newRoomServer(t, 8)
	for range 6 {
		require.True(t, isAnswered(s.begin("/")))
	}
	assert.False(t, s.listener.Crowded())
	require.True(t, isAnswered(s.begin("/")))
	assert.True(t, s.listener.Crowded())
	assert.False(t, newRoomServer(t, 0).listener.Crowded(), "no limit")
}

func TestConnectionWithoutRequestMakesRoomAfterWhile(t *testing.T) {
	s := newRoomServer(t, 1)
	silent, err := net.DialTimeout("tcp4", s.listener.Addr().String(), testTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	assert.True(t, isAnswered(s.begin("/")))
}
