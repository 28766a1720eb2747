// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

var errBodyTooLarge = errors.New("proxy: body too large")

// maxBufferedBody is the size in bytes up to which a request body is buffered, so that it can be sent again. A larger size allows
// more requests to be retried; a smaller one takes less memory per request.
const maxBufferedBody = 256 << 10

// requestBody is a fully buffered body, or the buffered beginning of a larger body and a reader of the remainder.
type requestBody struct {
	buffered  []byte
	remainder *limitedRemainder
	length    int64
}

// limitedRemainder reads the part of a body that is not buffered. Reading beyond the limit fails, so that an endpoint never takes a
// truncated body for the complete one.
type limitedRemainder struct {
	reader io.Reader
	// limitExceeded is set when the body turns out to be larger than the settings allow, ended when it was read to its end.
	limitExceeded, ended atomic.Bool
}

// newLimitedRemainder returns a reader of the remainder of a body, which is limited to left bytes if bounded is set.
func newLimitedRemainder(reader io.ReadCloser, bounded bool, left int64) *limitedRemainder {
	remainder := &limitedRemainder{reader: reader}
	if bounded {
		remainder.reader = http.MaxBytesReader(nil, reader, left)
	}
	return remainder
}

// Read implements io.Reader.
func (b *limitedRemainder) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		b.limitExceeded.Store(true)
		return n, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// tooLarge reports whether the body exceeded the limit after a part of it was already forwarded.
func (b *requestBody) tooLarge() bool {
	return b.remainder != nil && b.remainder.limitExceeded.Load()
}

// readBody buffers a small body, or the beginning of a large one; a limit of 0 allows any size. The size of a chunked body is known
// only at its end: a body that fits into the buffer is refused before anything is forwarded, a larger one while it is forwarded.
func readBody(incoming *http.Request, limit int64) (requestBody, error) {
	if incoming.Body == nil || incoming.Body == http.NoBody {
		return requestBody{}, nil
	}
	if limit > 0 && incoming.ContentLength > limit {
		return requestBody{}, errBodyTooLarge
	}
	buffered, err := io.ReadAll(io.LimitReader(incoming.Body, maxBufferedBody))
	if err != nil {
		return requestBody{}, err
	}
	if limit > 0 && int64(len(buffered)) > limit {
		return requestBody{}, errBodyTooLarge
	}
	if len(buffered) < maxBufferedBody {
		return requestBody{buffered: buffered, length: int64(len(buffered))}, nil
	}
	remainder := newLimitedRemainder(incoming.Body, limit > 0, limit-int64(len(buffered)))
	return requestBody{buffered: buffered, remainder: remainder, length: incoming.ContentLength}, nil
}

// newReader returns a reader of the whole body for one attempt, or nil if there is no body. If the body turns out to be too large,
// the reader calls cancel: the endpoint would otherwise wait for the remainder until the deadline.
func (b *requestBody) newReader(cancel func()) io.ReadCloser {
	switch {
	case b.remainder != nil:
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), &cancelingReader{remainder: b.remainder, cancel: cancel}))
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	default:
		return nil
	}
}

// cancelingReader reads the remainder of a body and calls cancel when the limit is exceeded.
type cancelingReader struct {
	remainder *limitedRemainder
	cancel    func()
}

// Read implements io.Reader.
func (r *cancelingReader) Read(buffer []byte) (int, error) {
	n, err := r.remainder.Read(buffer)
	if errors.Is(err, errBodyTooLarge) {
		r.cancel()
	}
	return n, err
}
