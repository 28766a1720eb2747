// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/bytebudget"
)

const (
	// maxAnswerBytes is the maximum size in bytes of an answer that is not streamed, 64 MiB, so that a faulty endpoint cannot exhaust the
	// memory. A longer answer is rejected, never truncated.
	maxAnswerBytes = 67108864
	// uncountedAnswerBytes is the maximum size in bytes of an answer that is held without counting against the byte budget, 16 KiB. That is a
	// multiple of the size of an answer with 256 tokens, the assumed length. A higher limit lets longer answers pass without waiting for
	// large ones; a lower one limits better the memory of limits.max_requests such answers, 125 MiB for 8,000.
	uncountedAnswerBytes = 16384
	// answerBudgetBytes is the maximum number of bytes of larger answers that are held at a time, 128 MiB, which is two answers of the maximum
	// size. A higher limit makes fewer answers wait; a lower one uses less memory. While an answer without a stated length is read, its
	// buffer may briefly take twice its size.
	answerBudgetBytes = 134217728
)

// answerReader reads one answer that is not streamed, and holds its share of the byte budget until it is closed.
type answerReader struct {
	budget       *bytebudget.Budget
	heldBytes    int64
	silent       time.Duration
	silenceTimer *time.Timer
}

// newAnswerReader returns a reader that calls cancel once the endpoint has sent nothing for Options.EndpointSilent.
func (s *Service) newAnswerReader(cancel context.CancelFunc) *answerReader {
	silent := s.options.EndpointSilent
	return &answerReader{budget: s.answerBudget, silent: silent, silenceTimer: time.AfterFunc(silent, cancel)}
}

// close releases the reader's share of the byte budget.
func (a *answerReader) close() {
	a.silenceTimer.Stop()
	if a.heldBytes > 0 {
		a.budget.Release(a.heldBytes)
	}
}

// read returns the whole answer. stated is the stated length of the answer, or -1 if none is stated. Reading a large answer waits
// until the byte budget has room for it.
func (a *answerReader) read(ctx context.Context, from io.Reader, stated int64) ([]byte, error) {
	defer a.silenceTimer.Stop()
	if stated > maxAnswerBytes {
		return nil, errAnswerTooLong()
	}
	if stated > uncountedAnswerBytes {
		if err := a.acquire(ctx, stated); err != nil {
			return nil, err
		}
	}
	body, err := a.readUpTo(make([]byte, 0, max(stated, 0)+bytes.MinRead), from, uncountedAnswerBytes)
	if err != nil || len(body) <= uncountedAnswerBytes {
		return body, err
	}
	if a.heldBytes == 0 {
		if err := a.acquire(ctx, maxAnswerBytes); err != nil {
			return nil, err
		}
	}
	body, err = a.readUpTo(body, from, maxAnswerBytes)
	if err == nil && len(body) > maxAnswerBytes {
		return nil, errAnswerTooLong()
	}
	return body, err
}

// statedLength returns the stated length of an answer's body. An answer to HEAD has no body, whatever length it states.
func statedLength(method string, resp *http.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return resp.ContentLength
}

func errAnswerTooLong() error {
	return ErrUnknown{Detail: fmt.Sprintf("the answer is longer than the %d bytes that are passed on", maxAnswerBytes)}
}

// acquire waits for room in the byte budget. The silence timer is stopped meanwhile, since the endpoint is not read.
func (a *answerReader) acquire(ctx context.Context, size int64) error {
	a.silenceTimer.Stop()
	if err := a.budget.Acquire(ctx, size); err != nil {
		return errBroken{reason: err.Error()}
	}
	a.heldBytes = size
	a.silenceTimer.Reset(a.silent)
	return nil
}

// readUpTo appends to body until the end of the answer or until body is longer than limit.
func (a *answerReader) readUpTo(body []byte, from io.Reader, limit int) ([]byte, error) {
	out := bytes.NewBuffer(body)
	_, err := out.ReadFrom(io.LimitReader(activityReader{from: from, reader: a}, int64(limit+1-len(body))))
	if err != nil {
		return nil, errBroken{reason: err.Error()}
	}
	return out.Bytes(), nil
}

// activityReader reads an endpoint's answer and resets the silence timer with each part that arrives.
type activityReader struct {
	from   io.Reader
	reader *answerReader
}

// Read implements io.Reader.
func (w activityReader) Read(p []byte) (int, error) {
	n, err := w.from.Read(p)
	if n > 0 {
		w.reader.silenceTimer.Reset(w.reader.silent)
	}
	return n, err
}
