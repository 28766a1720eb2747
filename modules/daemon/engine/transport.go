// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// TransportOptions are the settings of the connections to endpoints.
type TransportOptions struct {
	DialTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxIdlePerHost int
}

const (
	// keepAlive is the time between probes of an idle connection, so that one to a lost host is noticed.
	keepAlive = 15 * time.Second
	// writeBuffer and readBuffer are each connection's buffers, in bytes: smaller saves memory, larger saves system calls
	// (docs/design/0004-data-path.md).
	writeBuffer = 1 << 10
	readBuffer  = 2 << 10
)

// NewTransport makes a transport whose connections count what was written, so that "not run" can be told for sure. By itself it
// sends nothing twice but a GET, HEAD or OPTIONS without a body, which net/http sends again where a kept connection breaks
// before the answer.
func NewTransport(o TransportOptions) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAlive}
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
		WriteBufferSize:       writeBuffer,
		ReadBufferSize:        readBuffer,
	}
}

// countingConn counts the bytes handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		return n, err
	}
	c.written.Add(int64(max(n, 1)))
	return n, err
}

// writeProbe tells whether any byte of one request was written.
type writeProbe struct {
	conn  atomic.Pointer[countingConn]
	began atomic.Int64
	other atomic.Bool
}

// trace hooks the probe into a request's context.
func (p *writeProbe) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*countingConn)
		if !ok {
			p.other.Store(true)
			return
		}
		p.began.Store(c.written.Load())
		p.conn.Store(c)
	}})
}

// wrote tells whether a byte of the request may have left; what cannot be counted counts as written.
func (p *writeProbe) wrote() bool {
	if p.other.Load() {
		return true
	}
	c := p.conn.Load()
	return c != nil && c.written.Load() > p.began.Load()
}
