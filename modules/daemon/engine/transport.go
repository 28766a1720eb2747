// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/tcpstate"
)

// TransportOptions are the settings of the connections to endpoints.
type TransportOptions struct {
	DialTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxIdlePerHost int
}

const (
	// keepAliveInterval is the time between keep-alive probes of an idle connection, which detect a lost host.
	keepAliveInterval = 15 * time.Second
	// writeBufferSize and readBufferSize are the sizes of each connection's buffers, in bytes. Smaller buffers save memory, larger ones
	// save system calls (docs/design/0004-data-path.md).
	writeBufferSize = 1 << 10
	readBufferSize  = 2 << 10
)

// NewTransport returns a transport whose connections count the bytes written. The count distinguishes a request that was certainly not run
// from a request that may have run. The transport resends only a GET, HEAD or OPTIONS without a body: net/http does so if a reused connection
// breaks before the response.
func NewTransport(o TransportOptions) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		ResponseHeaderTimeout: o.HeaderTimeout,
		IdleConnTimeout:       o.IdleTimeout,
		MaxIdleConnsPerHost:   o.MaxIdlePerHost,
		DisableCompression:    true,
		ForceAttemptHTTP2:     false,
		WriteBufferSize:       writeBufferSize,
		ReadBufferSize:        readBufferSize,

		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// ErrStartTooLate means that a request or an order was not sent, because its first byte would have been written too late.
var ErrStartTooLate = errors.New("engine: the time limit for the first byte has passed")

// countingConn counts the bytes passed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// unwritten is set while a write is under way, and after one that failed.
	unwritten atomic.Bool
	// startBefore is the time limit for the first byte of the current request; nil if there is none or the byte was written.
	startBefore atomic.Pointer[time.Time]
}

// Write implements net.Conn. The time limit is compared here and not before the request is sent, because the connection is set up and
// the process may be paused in between.
func (c *countingConn) Write(p []byte) (int, error) {
	if limit := c.startBefore.Load(); limit != nil && !time.Now().Before(*limit) {
		return 0, ErrStartTooLate
	}
	c.unwritten.Store(true)
	n, err := c.Conn.Write(p)
	c.unwritten.Store(err != nil)
	if n == 0 && err != nil {
		return n, err
	}
	c.startBefore.Store(nil)
	c.written.Add(int64(max(n, 1)))
	return n, err
}

// Read implements net.Conn. After a reset, the write of the request may have got the error, and the read io.EOF, which would be a proper end.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.unwritten.Load() && tcpstate.IsClosed(c.Conn) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// limitStart sets the time limit for the first byte of the next request; the zero time sets none.
func (c *countingConn) limitStart(limit time.Time) {
	if limit.IsZero() {
		c.startBefore.Store(nil)
		return
	}
	c.startBefore.Store(&limit)
}

// writeProbe detects whether any byte of one request was written.
type writeProbe struct {
	conn atomic.Pointer[countingConn]
	// start is the number of bytes written on conn before the request.
	start atomic.Int64
	// uncounted is set if the request used a connection that does not count bytes.
	uncounted atomic.Bool
}

// trace returns a context for the request with the probe installed. The first byte of the request is written only before startBefore,
// unless that is zero or the connection does not count bytes.
func (p *writeProbe) trace(ctx context.Context, startBefore time.Time) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*countingConn)
		if !ok {
			p.uncounted.Store(true)
			return
		}
		c.limitStart(startBefore)
		p.start.Store(c.written.Load())
		p.conn.Store(c)
	}})
}

// mayHaveWritten reports whether a byte of the request may have been written; bytes on an uncounted connection count as written.
func (p *writeProbe) mayHaveWritten() bool {
	if p.uncounted.Load() {
		return true
	}
	c := p.conn.Load()
	return c != nil && c.written.Load() > p.start.Load()
}

// EndsWithConnection reports whether only the end of its connection tells the end of a response, so that the endpoint alone knows whether it
// was complete.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
