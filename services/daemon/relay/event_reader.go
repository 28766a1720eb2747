// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bufio"
	"errors"
	"io"
)

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	in    *bufio.Reader
	event []byte
}

func newEventReader(in io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

func (e *eventReader) reset(in io.Reader) {
	e.in.Reset(in)
	if cap(e.event) > maxKeptBuffers*readBufferBytes {
		e.event = nil
	}
}

var errEventTooLong = errors.New("an event is too long")

// next returns the next event with its closing blank line. The event is valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	begun := false
	for {
		line, err := e.in.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > maxEventBytes {
			return nil, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			begun = true
			continue
		}
		if err != nil {
			return nil, err
		}
		blank := !begun && (len(line) == 1 || line[0] == '\r')
		begun = false
		if !blank {
			continue
		}
		if len(e.event) > len(line) {
			return e.event, nil
		}
		e.event = e.event[:0]
	}
}

// buffered reports whether bytes of another event have been buffered already.
func (e *eventReader) buffered() bool {
	return e.in.Buffered() > 0
}
