// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import "net/http"

// Framing is how the end of an answer's body is known.
type Framing int

// The framings.
const (
	// NoBody means that the answer has no body, by its status, its method or its length.
	NoBody Framing = iota
	// ByLength means that the head tells the length of the body.
	ByLength
	// ByChunks means that the body is sent in chunks, of which the last one ends it.
	ByChunks
	// ByClose means that the body ends with its connection, so that only a reset shows that it was interrupted.
	ByClose
)

// Framing returns how the end of the body is known.
func (a *Answer) Framing() Framing {
	return a.framing
}

// EndsAtHead waits for the first byte of an answer with the framing ByClose, and reports whether its connection ended before. It must be called
// before the body is read.
func (a *Answer) EndsAtHead() bool {
	if a.framing != ByClose {
		return false
	}
	_, err := a.conn.reader.Peek(1)
	return err != nil
}

// framingOf returns the framing of a response whose body was not replaced.
func framingOf(response *http.Response) Framing {
	switch {
	case response.Body == http.NoBody:
		return NoBody
	case len(response.TransferEncoding) > 0:
		return ByChunks
	case response.ContentLength >= 0:
		return ByLength
	default:
		return ByClose
	}
}
