// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import "bytes"

// eventBuffer splits a stream into complete events. Of a stream that may be resumed only complete events are forwarded, so that the
// events of the next endpoint start at an event boundary.
type eventBuffer struct {
	wholeOnly   bool
	pending     []byte
	lastEventID string
}

// maxPendingEvent is the size in bytes up to which an incomplete event is buffered. A larger size allows larger events; a smaller
// one limits the memory that a faulty endpoint can consume.
const maxPendingEvent = 1 << 20

// tooLong reports whether the buffered incomplete event exceeds maxPendingEvent.
func (b *eventBuffer) tooLong() bool {
	return len(b.pending) > maxPendingEvent
}

func newEventBuffer(wholeOnly bool) *eventBuffer {
	return &eventBuffer{wholeOnly: wholeOnly}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add adds bytes of the stream and returns those that may be forwarded; the result is valid until the next call.
func (b *eventBuffer) add(content []byte) []byte {
	if !b.wholeOnly {
		return content
	}
	// The pending bytes contain no event end, but may end with the first byte of one.
	searched := max(0, len(b.pending)-len(eventEnd)+1)
	b.pending = append(b.pending, content...)
	end := bytes.LastIndex(b.pending[searched:], eventEnd)
	if end < 0 {
		return nil
	}
	end += searched + len(eventEnd)
	whole := append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	b.recordID(whole)
	return whole
}

// recordID records the id of the last event that has one.
func (b *eventBuffer) recordID(whole []byte) {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			b.lastEventID = string(bytes.TrimSpace(line[len(idField):]))
		}
	}
}

// lastIDOr returns the id of the last event, or known if no event had an id.
func (b *eventBuffer) lastIDOr(known string) string {
	if b.lastEventID == "" {
		return known
	}
	return b.lastEventID
}

// incompleteEvent returns the bytes that followed the last complete event.
func (b *eventBuffer) incompleteEvent() []byte {
	return b.pending
}
