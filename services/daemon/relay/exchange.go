// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

const (
	// readBufferBytes is the size in bytes of each stream's buffer for events. A smaller buffer saves memory; a larger one saves reads. The
	// reduction from 4 to 2 KB was part of the reduction from 66 to 58.6 KB per stream, with the same time per token
	// (docs/design/0004-data-path.md).
	readBufferBytes = 2048
	// maxEventBytes is the maximum size of an event in bytes, so that a faulty endpoint cannot exhaust the memory.
	maxEventBytes = 1048576
	// maxKeptBuffers is the maximum size, in multiples of readBufferBytes, of an event's buffer that is reused for the next stream.
	maxKeptBuffers = 16
)

var eventReaders = sync.Pool{New: func() any { return newEventReader(nil) }}

// exchange sends a request, or a request to resume its stream, and forwards the answer to the caller.
func (r *run) exchange(ctx context.Context, call engine.Call) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := r.service.options.Dialect.Start(ctx, call)
	if err != nil {
		if call.ResumeFrom > 0 {
			return errBroken{reason: err.Error()}
		}
		return err
	}
	// The error of Close is ignored, since the answer has been read by then.
	defer func() { _ = resp.Body.Close() }()
	if err := r.checkAnswer(resp); err != nil {
		return err
	}
	if r.job.Stream && resp.StatusCode == http.StatusOK {
		return r.stream(ctx, cancel, resp)
	}
	if call.ResumeFrom > 0 {
		// The caller has the beginning of a stream, to which no other answer belongs.
		return errBroken{reason: resp.Status}
	}
	return r.whole(ctx, cancel, resp)
}

// checkAnswer verifies that the answer belongs to this request and comes from the requested adapter and version.
func (r *run) checkAnswer(resp *http.Response) error {
	if id := resp.Header.Get(engine.HeaderRequestID); id != "" && id != r.job.Request.ID {
		return ErrUnknown{Detail: "the endpoint answered another request"}
	}
	if r.job.Plain {
		return nil
	}
	if model := resp.Header.Get(engine.HeaderModel); model != "" && model != r.job.Request.Adapter.String() {
		return ErrUnknown{Detail: "the endpoint answered from " + model}
	}
	if !statusOK(resp) {
		return errBroken{reason: resp.Status}
	}
	return nil
}

// modelOnly is the part of an answer or event that contains the model.
type modelOnly struct {
	Model string `json:"model"`
}

func (r *run) checkModel(body []byte) error {
	var m modelOnly
	if err := json.Unmarshal(body, &m); err != nil {
		return errBroken{reason: "the answer is not JSON: " + err.Error()}
	}
	if m.Model != r.job.Request.Adapter.String() {
		return ErrUnknown{Detail: "the endpoint answered from " + m.Model}
	}
	return nil
}

// whole forwards an answer that is not streamed, once it has been read completely.
func (r *run) whole(ctx context.Context, cancel context.CancelFunc, resp *http.Response) error {
	in := r.service.newAnswerReader(cancel)
	defer in.close()
	body, err := in.read(ctx, resp.Body, statedLength(r.job.Method, resp))
	if err != nil {
		return err
	}
	if !r.job.Plain && resp.StatusCode == http.StatusOK {
		if err := r.checkModel(body); err != nil {
			return err
		}
	}
	r.setHeaders(resp)
	return r.out.whole(resp.StatusCode, body, r.bodyEnd(resp, body))
}

// bodyEnd returns how the caller is told the end of an answer's body, so that it gets no proof of completeness that the endpoint did not give.
func (r *run) bodyEnd(resp *http.Response, body []byte) bodyEnd {
	// JSON that was decoded is complete.
	decoded := !r.job.Plain && resp.StatusCode == http.StatusOK
	switch {
	case r.job.Method == http.MethodHead:
		return bodyEnd{length: resp.ContentLength}
	case engine.EndsWithConnection(resp) && !decoded && r.job.CanEndByClose:
		return bodyEnd{length: resp.ContentLength, untilClose: true}
	default:
		return bodyEnd{length: int64(len(body))}
	}
}

// setHeaders sets the headers of the answer, unless the answer has started already.
func (r *run) setHeaders(resp *http.Response) {
	if r.out.started {
		return
	}
	h := r.out.header()
	if kind := resp.Header.Get("Content-Type"); kind != "" {
		h.Set("Content-Type", kind)
	}
	if r.job.Headers != nil {
		r.job.Headers(h, r.ticket)
	}
}

// stream forwards an answer event by event. It forwards complete events only, so that a resumed stream continues exactly
// where it broke off. The silence timer of the endpoint runs only while the endpoint is read. A caller that reads slowly
// blocks the reading; if the timer ran meanwhile, the caller's stream would be aborted.
func (r *run) stream(ctx context.Context, cancel context.CancelFunc, resp *http.Response) error {
	silent := r.service.options.EndpointSilent
	watch := time.AfterFunc(silent, cancel)
	defer watch.Stop()
	in := eventReaders.Get().(*eventReader)
	in.reset(resp.Body)
	defer func() {
		in.reset(nil)
		eventReaders.Put(in)
	}()
	for {
		event, err := in.next()
		if err != nil {
			return r.brokenStream(ctx, err)
		}
		watch.Stop()
		if err := r.forwardEvent(resp, event); err != nil {
			return err
		}
		if isDone(event) {
			return r.out.flush()
		}
		if !in.buffered() {
			if err := r.out.flush(); err != nil {
				return err
			}
		}
		watch.Reset(silent)
	}
}

func (r *run) brokenStream(ctx context.Context, err error) error {
	if flushed := r.out.flush(); flushed != nil {
		return flushed
	}
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(err, io.EOF) {
		return errBroken{reason: "cancelled or silent for too long: " + err.Error()}
	}
	return errBroken{reason: err.Error()}
}

// forwardEvent forwards one event to the caller. It checks the model of the first event.
func (r *run) forwardEvent(resp *http.Response, event []byte) error {
	if r.out.events == 0 && !isDone(event) {
		if err := r.checkModel(eventData(event)); err != nil {
			return err
		}
	}
	r.setHeaders(resp)
	return r.out.event(event)
}

var (
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")
)

func eventData(event []byte) []byte {
	return bytes.TrimSpace(bytes.TrimPrefix(event, dataPrefix))
}

func isDone(event []byte) bool {
	return bytes.HasPrefix(event, doneEvent)
}
