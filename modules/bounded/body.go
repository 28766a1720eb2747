// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// A body that is decoded as a whole is read in parts, each partGrowth times as large as the one before, from firstPartBytes to maxPartBytes. Of
// one that is too long, no part is copied on the way.
const (
	firstPartBytes = 512
	maxPartBytes   = 1 << 20
	partGrowth     = 2
)

// Discard reads a body from a connection to its end and drops it. It returns ErrTooLong beyond a number of bytes, ErrTooSlow after a time, and
// else the error of the body; the connection cannot be used after any of them.
func Discard(conn net.Conn, body io.Reader, maxBytes int64, timeout time.Duration) error {
	return within(conn, timeout, func() error {
		_, err := io.CopyN(io.Discard, body, maxBytes+1)
		switch {
		case err == nil:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		default:
			return err
		}
	})
}

// ReadAll reads a body that is decoded as a whole. It returns ErrTooLong beyond a number of bytes.
func ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	var parts [][]byte
	var total int64
	limited := io.LimitReader(body, maxBytes+1)
	for size := firstPartBytes; ; size = min(partGrowth*size, maxPartBytes) {
		part, err := readPart(limited, size)
		parts, total = append(parts, part), total+int64(len(part))
		switch {
		case total > maxBytes:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// readPart reads up to size bytes. Unlike with io.ReadFull, io.EOF tells the end of a whole body, also after some bytes, and
// io.ErrUnexpectedEOF is an error of the body.
func readPart(body io.Reader, size int) ([]byte, error) {
	part := make([]byte, size)
	filled := 0
	for filled < size {
		n, err := body.Read(part[filled:])
		filled += n
		if err != nil {
			return part[:filled], err
		}
	}
	return part, nil
}

// within reads from a connection, and interrupts that after a time. It then returns ErrTooSlow, whether or not the reading succeeded, since the
// connection's deadline has passed.
func within(conn net.Conn, timeout time.Duration, read func() error) error {
	// An error means that the connection has ended, which the reading reports.
	timer := time.AfterFunc(timeout, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	err := read()
	if !timer.Stop() && !errors.Is(err, ErrTooLong) {
		return ErrTooSlow
	}
	return err
}
