// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package endless

import (
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// CallTime is the deadline of a call to a Server.
	CallTime = 20 * time.Second
	// JudgedWithin is by when a call must have been given up and its connection closed.
	JudgedWithin = 12 * time.Second
	// SystemBytes is more than the system holds of a connection in its buffers of both sides, beside what the reader has taken.
	SystemBytes = 64 << 20
	// repeatedBytes is about how many bytes are written at once.
	repeatedBytes = 16 << 10
	// firstReadBytes is the size of the read that waits for the request.
	firstReadBytes = 4 << 10
	// maxConnections is how many connections of a Server are counted.
	maxConnections = 16
	// hexadecimal is the base of the sizes of chunks.
	hexadecimal = 16
)

// Answer is how an answer begins, and the text that follows again and again, with a pause after each.
type Answer struct {
	Begin, Repeated string
	Pause           time.Duration
}

// Heads returns answers whose head does not end.
func Heads() map[string]Answer {
	return map[string]Answer{
		"status line":     {Begin: "HTTP/1.1 200 ", Repeated: repeat("a")},
		"header line":     {Begin: "HTTP/1.1 200 OK\r\nX: ", Repeated: repeat("a")},
		"header lines":    {Begin: "HTTP/1.1 200 OK\r\n", Repeated: repeat("X: 1\r\n")},
		"interim answers": {Repeated: repeat("HTTP/1.1 103 X\r\n\r\n")},
	}
}

// Bodies returns answers of status 200 whose body begins with a text, goes on with another, and does not end.
func Bodies(begin, text string) map[string]Answer {
	const head = "HTTP/1.1 200 OK\r\n"
	return map[string]Answer{
		"body until the close": {Begin: head + "\r\n" + begin, Repeated: repeat(text)},
		"body of 1 TB":         {Begin: head + "Content-Length: 1000000000000\r\n\r\n" + begin, Repeated: repeat(text)},
		"body in chunks": {
			Begin:    head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(begin),
			Repeated: chunk(repeat(text)),
		},
	}
}

// Server answers the first bytes of each connection with an Answer.
type Server struct {
	Address netip.AddrPort
	answer  Answer
	sent    chan int
}

// Start starts a server.
func Start(t *testing.T, answer Answer) *Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().(*net.TCPAddr).AddrPort(), answer: answer, sent: make(chan int, maxConnections)}
	go s.accept(listener)
	return s
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, firstReadBytes)); err != nil {
		return
	}
	s.sent <- Send(conn, s.answer)
}

// Send sends an answer until the connection is closed, and returns how many bytes the system took.
func Send(conn net.Conn, answer Answer) int {
	total, err := io.WriteString(conn, answer.Begin)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, answer.Repeated)
		total += n
		time.Sleep(answer.Pause)
	}
	return total
}

// RequireGivenUp waits until a connection is closed, and fails if its reader took more than a number of bytes.
func (s *Server) RequireGivenUp(t *testing.T, maxBytes int) {
	t.Helper()
	select {
	case total := <-s.sent:
		require.Less(t, total, maxBytes+SystemBytes, "bytes that were sent")
	case <-time.After(JudgedWithin):
		require.Fail(t, "the connection is not closed")
	}
}

// repeat returns a text again and again, in about repeatedBytes.
func repeat(text string) string {
	return strings.Repeat(text, max(1, repeatedBytes/len(text)))
}

// chunk returns a text as a chunk of a body, or nothing for an empty text.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return strconv.FormatInt(int64(len(text)), hexadecimal) + "\r\n" + text + "\r\n"
}
