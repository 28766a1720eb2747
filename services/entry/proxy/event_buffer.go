// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import "bytes"

// eventBuffer finds whole events in the bytes of a stream. Where a stream may be resumed, only
// whole events are passed on, so that the next endpoint's events follow a boundary.
type eventBuffer struct {
	wholeOnly bool
	pending   []byte
	last      string
}

func newEventBuffer(wholeOnly bool) *eventBuffer {
	return &eventBuffer{wholeOnly: wholeOnly}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes in bytes and gives those that may be passed on; they are valid until the next call.
func (b *eventBuffer) add(content []byte) []byte {
	if !b.wholeOnly {
		return content
	}
	b.pending = append(b.pending, content...)
	end := bytes.LastIndex(b.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	b.noteID(whole)
	return whole
}

// noteID remembers the id of the last event that has one.
func (b *eventBuffer) noteID(whole []byte) {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			b.last = string(bytes.TrimSpace(line[len(idField):]))
		}
	}
}

// lastID gives the last event's id, or the one known before.
func (b *eventBuffer) lastID(known string) string {
	if b.last == "" {
		return known
	}
	return b.last
}

// rest gives what followed the last whole event when the stream ended.
func (b *eventBuffer) rest() []byte {
	return b.pending
}
