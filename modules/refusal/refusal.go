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
	// lookTime bounds the whole look: what waits for it is a retry.
	lookTime = 100 * time.Millisecond
	// openTime is how long a new connection must stay open to tell that the process goes on.
	openTime = 30 * time.Millisecond
	// lookPause is between two connections of one look.
	lookPause = time.Millisecond
)

// Look opens connections until one is refused, which says that the process at the other end has ended, or one stays open, which is given to
// the caller. The system of a process that is just ending still takes connections, and resets them as it closes the listening socket; so
// that a connection is taken says nothing yet. Where neither shows in time, as while none can be opened, both results are the zero value.
func Look[C net.Conn](ctx context.Context, open func(context.Context) (C, error), discard func(C)) (kept C, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	var none C
	for ; ctx.Err() == nil; pause(ctx) {
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

// staysOpen reports whether a new connection is neither closed nor reset within openTime; false where less than that is left.
func staysOpen(ctx context.Context, conn net.Conn) bool {
	watching, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	deadline, _ := watching.Deadline()
	if end, bounded := ctx.Deadline(); bounded && deadline.Equal(end) {
		return false
	}
	if conn.SetReadDeadline(deadline) != nil {
		return false
	}
	var octet [1]byte
	if _, err := conn.Read(octet[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

// pause leaves the process the time to close its next socket.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(lookPause):
	}
}
