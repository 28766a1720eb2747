// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package refusal

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// probeTimeout bounds the whole probe, because a retry waits for its result.
	probeTimeout = 100 * time.Millisecond
	// minOpenTime is how long a new connection must stay open to show that the process is running.
	minOpenTime = 30 * time.Millisecond
	// probeInterval is the pause between two connections of one probe.
	probeInterval = time.Millisecond
)

// Probe opens connections until one is refused or one stays open. A refused connection means that the process at the other end has ended;
// a connection that stays open is returned. An accepted connection alone proves nothing: the operating system still accepts connections
// for a process that is ending, and resets them when the listening socket is closed. If neither happens within probeTimeout, for example
// because no connection can be opened, both results are the zero value.
func Probe[C net.Conn](ctx context.Context, open func(context.Context) (C, error), discard func(C)) (kept C, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var none C
	for ; ctx.Err() == nil; waitInterval(ctx) {
		conn, err := open(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return none, true
		}
		if err != nil {
			continue
		}
		if staysOpen(ctx, conn) {
			return conn, false
		}
		discard(conn)
	}
	return none, false
}

// staysOpen reports whether a new connection is neither closed nor reset within minOpenTime. It returns false if ctx ends before that.
func staysOpen(ctx context.Context, conn net.Conn) bool {
	observation, cancel := context.WithTimeout(ctx, minOpenTime)
	defer cancel()
	deadline, _ := observation.Deadline()
	if end, bounded := ctx.Deadline(); bounded && deadline.Equal(end) {
		return false
	}
	if conn.SetReadDeadline(deadline) != nil {
		return false
	}
	var buffer [1]byte
	if _, err := conn.Read(buffer[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

// waitInterval waits for probeInterval, so that an ending process can close its next socket.
func waitInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(probeInterval):
	}
}
