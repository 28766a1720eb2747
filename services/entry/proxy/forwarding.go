// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is buffered before it is forwarded. A larger size allows more
	// interrupted responses to be retried; a smaller one takes less memory and starts forwarding sooner.
	maxBufferedResponse = 64 << 10
	// readBufferSize is the size in bytes of one read of a large response or a stream. A larger size makes fewer read calls for large
	// responses; a smaller one takes less memory per stream.
	readBufferSize = 4 << 10
)

// forwardWhole forwards a response that is not a stream. A small response is buffered first, so that the request can be retried, or
// answered with an error, if the response is interrupted. Of a large one, no other endpoint may take the place once a part is forwarded.
func (e *exchange) forwardWhole(hedging *hedge) attempt.Verdict {
	content, err := io.ReadAll(io.LimitReader(e.response, maxBufferedResponse))
	if err != nil {
		e.discard()
		return attempt.JudgeInterrupted(e.situation())
	}
	if len(content) == maxBufferedResponse {
		if !hedging.pause() {
			e.discard()
			return attempt.JudgeInterrupted(e.situation())
		}
		return e.forwardLarge(content)
	}
	// The response was read to its end, so its connection can be reused.
	e.buffered = content
	verdict := attempt.JudgeWhole(e.status)
	if verdict.Result == attempt.Finished {
		e.forwardBuffered()
	}
	return verdict
}

// endUndelivered ends an exchange whose caller accepts no more of the response.
func (e *exchange) endUndelivered() attempt.Verdict {
	e.recordEnd()
	if e.endCause == attempt.EndedByEndpoint {
		// The write failed before the context was canceled.
		e.endCause = attempt.EndedByCaller
	}
	return attempt.Undelivered()
}

// bodyEnd returns how the caller is told the end of the response's body: as the endpoint told it, so that the caller gets no proof of
// completeness that the endpoint did not give.
func (e *exchange) bodyEnd() bodyEnd {
	return bodyEnd{length: e.response.Response.ContentLength, untilClose: e.untilClose}
}

// forwardBuffered forwards a response that was buffered completely.
func (e *exchange) forwardBuffered() {
	end := e.bodyEnd()
	if e.response.Framing() == upstream.ByChunks {
		end.length = int64(len(e.buffered))
	}
	response := e.inflight.response
	response.writeHead(e.response.Response, end)
	// Errors are ignored: the caller has disconnected, but the endpoint's response was complete.
	if response.write(e.buffered) == nil && end.untilClose {
		_ = response.finish()
	}
	e.discard()
}

// judgeForwarded returns the verdict on a large response that was forwarded completely. The log line of an error has its reason, as that of
// one that was buffered.
func (e *exchange) judgeForwarded() attempt.Verdict {
	if attempt.IsFailure(e.status) {
		e.inflight.reason = attempt.EndpointError
	}
	return attempt.JudgeForwarded(e.status)
}

// forwardLarge forwards a response whose buffered beginning is content.
func (e *exchange) forwardLarge(content []byte) attempt.Verdict {
	defer e.discard()
	e.inflight.response.writeHead(e.response.Response, e.bodyEnd())
	if err := e.inflight.response.write(content); err != nil {
		return e.endUndelivered()
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := e.response.Read(buffer)
		if n > 0 {
			if e.inflight.response.write(buffer[:n]) != nil {
				return e.endUndelivered()
			}
			e.lastReceived = e.inflight.service.options.Now()
		}
		if errors.Is(err, io.EOF) {
			if e.inflight.response.finish() != nil {
				return e.endUndelivered()
			}
			return e.judgeForwarded()
		}
		if err != nil {
			return attempt.JudgeInterrupted(e.situation())
		}
	}
}
