// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import "bytes"

// eventBuffer splits a stream into complete events. Of a stream that may be resumed only complete events are forwarded, so that the
// events of the next endpoint start at an event boundary.
type eventBuffer struct {
	wholeOnly   bool
	scanner     eventScanner
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

var idField = []byte("id:")

// add adds bytes of the stream and returns those that may be forwarded; the result is valid until the next call.
func (b *eventBuffer) add(content []byte) []byte {
	end := b.scanner.scan(content)
	if !b.wholeOnly {
		return content
	}
	if end == 0 {
		b.pending = append(b.pending, content...)
		return nil
	}
	whole := append(b.pending, content[:end]...)
	b.pending = append([]byte(nil), content[end:]...)
	b.recordID(whole)
	return whole
}

// recordID records the id of the last event that has one.
func (b *eventBuffer) recordID(whole []byte) {
	for _, line := range bytes.FieldsFunc(whole, isLineEnd) {
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

// incomplete returns the bytes that followed the last complete event and were not returned by add.
func (b *eventBuffer) incomplete() []byte {
	return b.pending
}

// hasEvent reports whether an event has ended.
func (b *eventBuffer) hasEvent() bool {
	return b.scanner.hasEvent
}

// insideEvent reports whether the stream so far ends inside an event, so that it was interrupted if nothing follows.
func (b *eventBuffer) insideEvent() bool {
	return b.scanner.insideEvent()
}
