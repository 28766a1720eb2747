// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callerFraming is how the head of a response says that the end of its body is known.
type callerFraming string

const (
	framedByLength callerFraming = "length"
	framedByChunks callerFraming = "chunks"
	framedByClose  callerFraming = "close"
	framedNoBody   callerFraming = "no body"
)

// framedResponse is a response as read from the caller's connection.
type framedResponse struct {
	framing callerFraming
	body    string
	// length is the length of the body that the head states, or -1.
	length int64
	// looksComplete is set if the caller has to take the body for the whole one.
	looksComplete bool
}

// untilClose returns the head of a response without a length or chunks, and the given parts.
func untilClose(parts ...string) string {
	return "HTTP/1.1 200 OK\r\nMark: 1\r\n\r\n" + strings.Join(parts, "")
}

// sendRaw sends a request without a body over a connection of its own, and reads the response to its end.
func sendRaw(t *testing.T, server *httptest.Server, method, path, protocol string) framedResponse {
	t.Helper()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(dialTimeout)))
	_, err = io.WriteString(conn, method+" "+path+" "+protocol+"\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return framedResponse{framing: framingOf(response), body: string(content), length: response.ContentLength, looksComplete: err == nil}
}

func framingOf(response *http.Response) callerFraming {
	switch {
	case response.Body == http.NoBody:
		return framedNoBody
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	case response.ContentLength >= 0:
		return framedByLength
	default:
		return framedByClose
	}
}

// TestBrokenAnswerIsNotFramedAsComplete guards against answers that an endpoint ended with its connection and that reached the caller with a
// length or a last chunk which the endpoint never sent.
func TestBrokenAnswerIsNotFramedAsComplete(t *testing.T) {
	const http10, http11 = "HTTP/1.0", "HTTP/1.1"
	large := strings.Repeat("x", 200<<10)
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	cr := func(text string) string { return strings.ReplaceAll(text, "\n", "\r") }
	for name, test := range map[string]struct {
		path, protocol string
		scripts        []string
		want           framedResponse
	}{
		"small answer":                 {"/unsafe", http11, []string{untilClose("whole")}, framedResponse{framing: framedByClose, body: "whole", looksComplete: true}},
		"large answer":                 {"/safe", http11, []string{untilClose(large)}, framedResponse{framing: framedByClose, body: large, looksComplete: true}},
		"small answer with a length":   {"/safe", http11, []string{fixedResponse(200, endpointMarkHeader, "whole")}, framedResponse{framing: framedByLength, body: "whole", looksComplete: true}},
		"stream":                       {"/stream", http11, []string{untilClose(firstEvent, secondEvent)}, framedResponse{framing: framedByClose, body: firstEvent + secondEvent, looksComplete: true}},
		"stream with a comment at end": {"/stream", http11, []string{untilClose(firstEvent, ": end\n")}, framedResponse{framing: framedByClose, body: firstEvent + ": end\n", looksComplete: true}},
		"stream, lines end with CR LF": {"/stream", http11, []string{untilClose(crlf(firstEvent))}, framedResponse{framing: framedByClose, body: crlf(firstEvent), looksComplete: true}},
		"stream, lines end with CR":    {"/stream", http11, []string{untilClose(cr(firstEvent))}, framedResponse{framing: framedByClose, body: cr(firstEvent), looksComplete: true}},
		"resumable, CR LF":             {"/resumable", http11, []string{untilClose(crlf(firstEvent + secondEvent))}, framedResponse{framing: framedByClose, body: crlf(firstEvent + secondEvent), looksComplete: true}},
		"resumable, CR":                {"/resumable", http11, []string{untilClose(cr(firstEvent + secondEvent))}, framedResponse{framing: framedByClose, body: cr(firstEvent + secondEvent), looksComplete: true}},
		"broken inside an event":       {"/stream", http11, []string{untilClose(firstEvent, "id: 2\ndata: ha")}, framedResponse{framing: framedByClose, body: "", looksComplete: false}},
		"broken before the empty line": {"/stream", http11, []string{untilClose(firstEvent, "id: 2\ndata: b\n")}, framedResponse{framing: framedByClose, body: "", looksComplete: false}},
		"broken inside a CR LF event":  {"/stream", http11, []string{untilClose(crlf(firstEvent + "id: 2\ndata: b\n"))}, framedResponse{framing: framedByClose, body: "", looksComplete: false}},
		"broken inside an event, with the last chunk": {
			"/stream", http11, []string{chunkedResponse(firstEvent, "id: 2\ndata: ha") + lastChunk}, framedResponse{framing: framedByChunks, body: "", looksComplete: false},
		},
		"broken inside an event, with the length": {
			"/stream", http11, []string{fixedResponse(200, endpointMarkHeader, firstEvent+"id: 2\ndata: ha")}, framedResponse{framing: framedByChunks, looksComplete: false},
		},
		"other media type with a length": {
			"/stream", http11, []string{fixedResponse(200, endpointMarkHeader+"Content-Type: text/plain\r\n", "whole")},
			framedResponse{framing: framedByLength, body: "whole", looksComplete: true},
		},
		"resumable, broken inside an event": {
			"/resumable", http11, []string{untilClose(firstEvent, "id: 2\nda"), chunkedResponse(secondEvent) + lastChunk},
			framedResponse{framing: framedByClose, body: firstEvent + secondEvent, looksComplete: true},
		},
		"resumable, broken inside a CR LF event": {
			"/resumable", http11, []string{untilClose(crlf(firstEvent), "id: 2\r\nda"), chunkedResponse(crlf(secondEvent)) + lastChunk},
			framedResponse{framing: framedByClose, body: crlf(firstEvent + secondEvent), looksComplete: true},
		},
		"resumable, broken again":            {"/resumable", http11, []string{untilClose(firstEvent, "id: 2"), untilClose("id: 2\n")}, framedResponse{framing: framedByClose, body: "", looksComplete: false}},
		"chunks cut off, caller of HTTP 1.0": {"/stream", http10, []string{chunkedResponse(firstEvent)}, framedResponse{framing: framedByClose, body: "", looksComplete: false}},
		"chunks, caller of HTTP 1.0":         {"/stream", http10, []string{chunkedResponse(firstEvent) + lastChunk}, framedResponse{framing: framedByClose, body: firstEvent, looksComplete: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, test.scripts...)
			p.retryBudget = 1
			got := sendRaw(t, server, http.MethodGet, test.path, test.protocol)
			assert.Equal(t, test.want.looksComplete, got.looksComplete, "%s: %.60q", got.framing, got.body)
			assert.Equal(t, test.want.framing, got.framing)
			if test.want.looksComplete {
				assert.Equal(t, test.want.body, got.body)
			}
		})
	}
}

// TestHeadTellsLengthOfEndpoint guards against answers to HEAD that state the length of the body that was not sent, which is 0.
func TestHeadTellsLengthOfEndpoint(t *testing.T) {
	const unknownLength = -1
	for name, test := range map[string]struct {
		head   string
		length int64
	}{
		"length":    {"HTTP/1.1 200 OK\r\nMark: 1\r\nContent-Length: 123456\r\n\r\n", 123456},
		"empty":     {"HTTP/1.1 200 OK\r\nMark: 1\r\nContent-Length: 0\r\n\r\n", 0},
		"no length": {untilClose(), unknownLength},
		"chunks":    {"HTTP/1.1 200 OK\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n", unknownLength},
		"error":     {"HTTP/1.1 500 Error\r\nMark: 1\r\nContent-Length: 12\r\n\r\n", 12},
	} {
		for _, path := range []string{"/safe", "/unsafe", "/stream"} {
			t.Run(name+" "+path, func(t *testing.T) {
				_, server := newTestProxy(t, test.head)
				got := sendRaw(t, server, http.MethodHead, path, "HTTP/1.1")
				assert.Equal(t, test.length, got.length)
				assert.Equal(t, framedNoBody, got.framing)
			})
		}
	}
}
