// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// stream forwards the events of one endpoint's response to the caller.
type stream struct {
	exchange *exchange
	events   *eventBuffer
	// headPending is set if the response head must be written before the first bytes; for a resumed stream it was written before.
	headPending bool
	// received is set once a byte of the body was received.
	received bool
	// opaque is set if the body is no stream of events, so that only its framing shows whether it is complete.
	opaque bool
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isOpaque reports whether a response names another media type than that of events.
func isOpaque(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType != "" && !strings.EqualFold(mediaType, eventStreamType)
}

// forwardStream forwards the events of a stream as they arrive, and writes the head right before the first of them if headPending is
// set. While a write to a slow caller blocks, hedging is paused: the endpoint is not silent then.
func (e *exchange) forwardStream(headPending bool, hedging *hedge) attempt.Verdict {
	defer e.discard()
	s := &stream{
		exchange: e, events: newEventBuffer(e.inflight.request.Route.Resumable, &e.inflight.service.pending), headPending: headPending,
		opaque: isOpaque(e.response.Response.Header),
	}
	defer s.events.release()
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
		if errors.Is(err, io.EOF) && !s.events.exhausted {
			return s.finish()
		}
		if err != nil || s.events.tooLong() {
			return attempt.JudgeInterrupted(e.situation())
		}
	}
}

// forwardHead writes the head if it is still pending. For a stream of events the length is left out: the next endpoint need not keep it, and
// a stream of that length may still end inside an event.
func (s *stream) forwardHead() {
	if !s.headPending {
		return
	}
	s.headPending = false
	s.exchange.recordOrigin(s.exchange.inflight.service.control.Origins.Begin)
	httpResponse := s.exchange.response.Response
	body := s.exchange.bodyEnd()
	if s.exchange.response.Framing() == upstream.ByLength && (s.events.wholeOnly || !s.opaque) {
		body.length = unknownLength
	}
	s.exchange.inflight.response.writeHead(httpResponse, body)
}

// forward forwards the received bytes, or only complete events if the stream may be resumed. It returns false if the caller accepts
// no more data.
func (s *stream) forward(content []byte) bool {
	s.received = true
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
	r.recordServed(s.exchange.assignment.Endpoint)
	return true
}

// finish ends a stream whose endpoint ended it, and forwards the bytes after the last complete event. A stream that ends inside an event
// was interrupted, whatever its framing, and so was one that ended with its connection before any event.
func (s *stream) finish() attempt.Verdict {
	e := s.exchange
	if (s.events.insideEvent() && !s.opaque) || (e.untilClose && !s.hasContent()) {
		return attempt.JudgeInterrupted(e.situation())
	}
	s.forwardHead()
	rest := s.events.incomplete()
	if len(rest) > 0 && e.inflight.response.write(rest) != nil {
		return e.endUndelivered()
	}
	if e.inflight.response.finish() != nil {
		return e.endUndelivered()
	}
	return attempt.Delivered()
}

// hasContent reports whether the endpoint sent a part of an answer: an event, or any byte of a body that is no stream of events.
func (s *stream) hasContent() bool {
	return s.events.hasEvent() || (s.opaque && s.received)
}
