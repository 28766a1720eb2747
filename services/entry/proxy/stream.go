// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"

	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// stream is one endpoint's answer of events on its way to the caller.
type stream struct {
	exchange *exchange
	events   *eventBuffer
	// headDue says that the caller must get the head before the first bytes; a resumed stream has one.
	headDue bool
}

// passStream passes the events of a stream on as they come, and the head right before the first of them if it is due. While a write to a
// caller that reads slowly blocks, no other endpoint is searched for: the present one is not silent then.
func (e *exchange) passStream(headDue bool, search *successorSearch) attempt.Verdict {
	defer e.discard()
	s := &stream{exchange: e, events: newEventBuffer(e.run.request.Route.Resumable), headDue: headDue}
	buffer := make([]byte, readBuffer)
	search.resume()
	for {
		n, err := e.answer.Read(buffer)
		if n > 0 {
			if !search.pause() || !e.noteRunning() {
				return attempt.JudgeBroken(e.situation())
			}
			if !s.passOn(buffer[:n]) {
				return e.notTaken()
			}
			e.heard = e.run.service.options.Now()
			search.resume()
		}
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil || s.events.tooLong() {
			return attempt.JudgeBroken(e.situation())
		}
	}
}

// passHead passes the head on if it is due. A stream that may be resumed has no length that its next endpoint could keep.
func (s *stream) passHead() {
	if !s.headDue {
		return
	}
	s.headDue = false
	response := s.exchange.answer.Response
	length := response.ContentLength
	if s.events.wholeOnly {
		length = -1
	}
	s.exchange.run.answer.pass(response, length)
}

// passOn passes on what has come, or its whole events; false if the caller takes no more.
func (s *stream) passOn(content []byte) bool {
	whole := s.events.add(content)
	if len(whole) == 0 {
		return true
	}
	s.passHead()
	r := s.exchange.run
	if r.answer.write(whole) != nil || r.answer.flush() != nil {
		return false
	}
	r.lastEvent = s.events.lastID(r.lastEvent)
	r.served = s.exchange.assignment.Endpoint.ID
	return true
}

// end passes on what followed the last whole event of a stream that ended as it should.
func (s *stream) end() attempt.Verdict {
	s.passHead()
	rest := s.events.rest()
	if len(rest) > 0 && (s.exchange.run.answer.write(rest) != nil || s.exchange.run.answer.flush() != nil) {
		return s.exchange.notTaken()
	}
	return attempt.Passed()
}
