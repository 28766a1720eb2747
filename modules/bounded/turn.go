// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import (
	"context"
	"io"
)

// Turn lets one long body be read at a time, so that several take no more memory than one.
type Turn struct {
	freeBytes int64
	taken     chan struct{}
}

// NewTurn returns a Turn for bodies of more than a number of bytes. Shorter ones are read at any time.
func NewTurn(freeBytes int64) *Turn {
	return &Turn{freeBytes: freeBytes, taken: make(chan struct{}, 1)}
}

// ReadAll is the function ReadAll for a body that waits for its turn until ctx ends. The content is used until release is called.
func (t *Turn) ReadAll(ctx context.Context, body io.Reader, maxBytes int64) (content []byte, release func(), err error) {
	r := &turnReader{Reader: body, context: ctx, turn: t, left: t.freeBytes}
	content, err = ReadAll(r, maxBytes)
	return content, r.release, err
}

// turnReader reads one body.
type turnReader struct {
	io.Reader
	context context.Context
	turn    *Turn
	// left is how many bytes may be read before it is the body's turn.
	left int64
	held bool
}

// Read implements io.Reader.
func (r *turnReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 && !r.held {
		select {
		case r.turn.taken <- struct{}{}:
			r.held = true
		case <-r.context.Done():
			return 0, r.context.Err()
		}
	}
	n, err := r.Reader.Read(buffer)
	r.left -= int64(n)
	return n, err
}

func (r *turnReader) release() {
	if r.held {
		<-r.turn.taken
	}
}
