// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"

	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// stream forwards the events of one endpoint's response to the caller.
type stream struct {
	exchange *exchange
	events   *eventBuffer
	// headPending is set if the response head must be written before the first bytes; for a resumed stream it was written before.
	headPending bool
}

// forwardStream forwards the events of a stream as they arrive, and writes the head right before the first of them if headPending is
// set. While a write to a slow caller blocks, hedging is paused: the endpoint is not silent then.
func (e *exchange) forwardStream(headPending bool, hedging *hedge) attempt.Verdict {
	defer e.discard()
	s := &stream{exchange: e, events: newEventBuffer(e.inflight.request.Route.Resumable), headPending: headPending}
	buffer := make([]byte, readBufferSize)
	hedging.resume()
	for {
		n, err := e.response.Read(buffer)
		if n > 0 {
			if !hedging.pause() || !e.reportRunning() {
				return attempt.JudgeInterrupted(e.situation())
			}
			if !s.forward(buffer[:n]) {
				return e.endUndelivered()
			}
			e.lastReceived = e.inflight.service.options.Now()
			hedging.resume()
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil || s.events.tooLong() {
			return attempt.JudgeInterrupted(e.situation())
		}
	}
}

// forwardHead writes the head if it is still pending. For a stream that may be resumed the length is left out, because the next
// endpoint need not keep it.
func (s *stream) forwardHead() {
	if !s.headPending {
		return
	}
	s.headPending = false
	httpResponse := s.exchange.response.Response
	length := httpResponse.ContentLength
	if s.events.wholeOnly {
		length = -1
	}
	s.exchange.inflight.response.writeHead(httpResponse, length)
}

// forward forwards the received bytes, or only complete events if the stream may be resumed. It returns false if the caller accepts
// no more data.
func (s *stream) forward(content []byte) bool {
	whole := s.events.add(content)
	if len(whole) == 0 {
		return true
	}
	s.forwardHead()
	r := s.exchange.inflight
	if r.response.write(whole) != nil || r.response.flush() != nil {
		return false
	}
	r.lastEvent = s.events.lastIDOr(r.lastEvent)
	r.lastServed = s.exchange.assignment.Endpoint.ID
	return true
}

// finish forwards the bytes after the last complete event of a stream that ended regularly.
func (s *stream) finish() attempt.Verdict {
	s.forwardHead()
	incompleteEvent := s.events.incompleteEvent()
	if len(incompleteEvent) > 0 && (s.exchange.inflight.response.write(incompleteEvent) != nil || s.exchange.inflight.response.flush() != nil) {
		return s.exchange.endUndelivered()
	}
	return attempt.Delivered()
}
