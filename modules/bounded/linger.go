// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import (
	"context"
	"io"
	"time"
)

const (
	// lingerTimeout, lingerPause and maxLingerBytes limit for how long, for how long without a byte, and up to how many bytes the body of a
	// caller that has its response is still read. Higher values let slower callers and larger uploads get the response, lower ones free the
	// connections sooner.
	lingerTimeout  = 10 * time.Second
	lingerPause    = time.Second
	maxLingerBytes = 256 << 20
	// lingerBufferBytes is the size of one read of such a body.
	lingerBufferBytes = 16 << 10
)

// Linger reads and drops the rest of the body of a request whose response was flushed, until the context ends. Most callers read no response
// before they have sent their whole body, and the reset of a connection that is closed before would take the response from them.
// setReadDeadline sets the deadline of the connection on the clock of now.
func Linger(ctx context.Context, body io.Reader, setReadDeadline func(time.Time), now func() time.Time) {
	defer context.AfterFunc(ctx, func() { setReadDeadline(now()) })()
	end := now().Add(lingerTimeout)
	buffer := make([]byte, lingerBufferBytes)
	for left := maxLingerBytes; left > 0; {
		setReadDeadline(earlier(now().Add(lingerPause), end))
		if ctx.Err() != nil {
			return
		}
		n, err := body.Read(buffer)
		if err != nil {
			// The body has ended, or the caller sends no more.
			return
		}
		left -= n
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
