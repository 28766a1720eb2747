// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcp

import (
	"context"
	"net"
	"time"
)

// Dialer opens TCP connections that are reset when they are closed: what a cut link held up is
// then lost instead of arriving when the link heals, long after the caller gave up.
type Dialer struct {
	// Timeout bounds the set-up; 0 leaves it to the context.
	Timeout time.Duration
}

// DialContext opens a connection over IPv4.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
