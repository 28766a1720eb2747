// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// OpenStream is an answer whose caller reads it event by event.
type OpenStream struct {
	ID     string
	Status int
	Header http.Header
	body   io.Closer
	reader *bufio.Reader
	cancel context.CancelFunc
}

// Open sends the call to the entry instance at HOST:PORT and waits for the head of the answer. The caller must call Close.
func (c Call) Open(ctx context.Context, address string) (*OpenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, id, err := c.request(ctx, address)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := clientFrom(c.From).Do(request) //nolint:bodyclose // Close of the stream closes it.
	if err != nil {
		cancel()
		return nil, err
	}
	return &OpenStream{
		ID: id, Status: response.StatusCode, Header: response.Header, body: response.Body, reader: bufio.NewReader(response.Body), cancel: cancel,
	}, nil
}

// ReadEvents reads up to count events, and returns their text and the error that ended the answer before.
func (s *OpenStream) ReadEvents(count int) (string, error) {
	var text strings.Builder
	for read := 0; read < count; {
		line, err := s.reader.ReadString('\n')
		text.WriteString(line)
		if err != nil {
			return text.String(), err
		}
		if line == "\n" {
			read++
		}
	}
	return text.String(), nil
}

// CloseAfter closes the connection after the given time, as a caller does that waits no longer.
func (s *OpenStream) CloseAfter(patience time.Duration) {
	time.AfterFunc(patience, s.cancel)
}

// Close closes the connection.
func (s *OpenStream) Close() {
	s.cancel()
	// The request was canceled before.
	_ = s.body.Close()
}
