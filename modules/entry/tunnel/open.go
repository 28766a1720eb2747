// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Target is the endpoint to which a tunnel leads.
type Target struct {
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint string
	Address  netip.AddrPort
}

// maxAnswerHeadBytes bounds the head of the answer to a CONNECT request.
const maxAnswerHeadBytes = 4 << 10

// errEarlyBytes is returned if bytes follow the answer to a CONNECT request, since an endpoint sends nothing before it gets a request.
var errEarlyBytes = errors.New("tunnel: bytes before the first request")

// Open turns a new connection to another instance into a tunnel to an endpoint, until the context ends. After an error, which may be
// ErrRefused, ErrNotReached, an *UnavailableError or an error of the connection, the caller has to close the connection; no byte has
// reached the endpoint then.
func Open(ctx context.Context, conn net.Conn, target Target) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Host: target.Address.String()}, Host: target.Address.String(),
		Header: http.Header{headerEndpoint: {target.Endpoint}},
	}
	if err := request.Write(conn); err != nil {
		return err
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxAnswerHeadBytes))
	response, err := http.ReadResponse(reader, request) //nolint:bodyclose // The body is the tunnel, which the caller reads.
	if err != nil {
		return err
	}
	if err := errorOf(response.StatusCode); err != nil {
		return err
	}
	if reader.Buffered() > 0 {
		return errEarlyBytes
	}
	if !stop() {
		return ctx.Err()
	}
	return nil
}
