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
	// budget is shared with other streams, reserved what this stream has of it. exhausted is set if it had too little for the pending bytes.
	budget    *pendingBudget
	reserved  int64
	exhausted bool
}

// tooLong reports whether the incomplete event is larger than may be buffered.
func (b *eventBuffer) tooLong() bool {
	return len(b.pending) > maxPendingEvent || b.exhausted
}

func newEventBuffer(wholeOnly bool, budget *pendingBudget) *eventBuffer {
	return &eventBuffer{wholeOnly: wholeOnly, budget: budget}
}

// reserve takes the budget for the pending bytes and those that follow; without it they are not buffered.
func (b *eventBuffer) reserve(following int) {
	wanted := int64(len(b.pending) + following - freePendingEvent)
	if wanted <= b.reserved {
		return
	}
	if !b.budget.reserve(wanted - b.reserved) {
		b.exhausted = true
		return
	}
	b.reserved = wanted
}

// release gives back what the stream has of the budget.
func (b *eventBuffer) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}

var idField = []byte("id:")

// add adds bytes of the stream and returns those that may be forwarded; the result is valid until the next call.
func (b *eventBuffer) add(content []byte) []byte {
	end := b.scanner.scan(content)
	if !b.wholeOnly {
		return content
	}
	if end == 0 {
		if b.reserve(len(content)); !b.exhausted {
			b.pending = append(b.pending, content...)
		}
		return nil
	}
	b.release()
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
