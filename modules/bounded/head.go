// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"time"
)

const (
	// MaxHeadBytes is up to how many bytes of the head of an answer are read, together with those of the interim answers before it. A higher
	// value accepts larger heads, a lower one bounds the memory that an endpoint without an end can take.
	MaxHeadBytes = 32 << 10
	// headTimeout is how long a head may take from its first byte to its end. A higher value tolerates a link that loses several packets in a
	// row, a lower one leaves more time for another try.
	headTimeout = 2 * time.Second
)

// Reader is a buffered reader of a connection that was opened here. Heads of answers are bounded, bodies are not.
type Reader struct {
	*bufio.Reader
	source *source
}

// source reads from a connection, at most a number of bytes while limited is set.
type source struct {
	net.Conn
	limited bool
	left    int
	// exceeded is set when a byte beyond the limit was asked for.
	exceeded bool
}

// Read implements io.Reader.
func (s *source) Read(buffer []byte) (int, error) {
	if !s.limited {
		return s.Conn.Read(buffer)
	}
	if s.left == 0 {
		s.exceeded = true
		return 0, ErrTooLong
	}
	n, err := s.Conn.Read(buffer[:min(len(buffer), s.left)])
	s.left -= n
	return n, err
}

// NewReader returns a reader of a connection with a buffer of the given size in bytes.
func NewReader(conn net.Conn, bufferBytes int) *Reader {
	s := &source{Conn: conn}
	return &Reader{Reader: bufio.NewReaderSize(s, bufferBytes), source: s}
}

// ReadResponse waits for an answer and reads its head, skipping interim answers. The errors are ErrTooLong, ErrTooSlow and those of the
// connection and of http.ReadResponse; the connection cannot be used after any of them.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	r.source.limited, r.source.left = true, MaxHeadBytes
	defer func() { r.source.limited = false }()
	for {
		response, err := r.readHead(request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// readHead reads one head, whose time begins with its first byte.
func (r *Reader) readHead(request *http.Request) (*http.Response, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, r.errorOf(err)
	}
	if r.hasWholeHead() {
		return http.ReadResponse(r.Reader, request)
	}
	var response *http.Response
	err := within(r.source.Conn, headTimeout, func() (err error) {
		response, err = http.ReadResponse(r.Reader, request) //nolint:bodyclose // The caller reads the body.
		return r.errorOf(err)
	})
	return response, err
}

// hasWholeHead reports whether the end of a head is buffered, as is usual.
func (r *Reader) hasWholeHead() bool {
	// As many bytes as are buffered can be peeked without an error.
	buffered, _ := r.Peek(r.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// errorOf returns ErrTooLong in place of an error that followed from it.
func (r *Reader) errorOf(err error) error {
	if err != nil && r.source.exceeded {
		return ErrTooLong
	}
	return err
}
