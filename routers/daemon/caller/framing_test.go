// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/httpserver"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/routers/daemon/caller"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

const testTimeout = 10 * time.Second

// startRawEndpoint starts an endpoint of a plain service under /plain/, whose connections are handled by serve once a request was read.
func startRawEndpoint(t *testing.T, serve func(conn *net.TCPConn)) fleet.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return fleet.Endpoint{
		Name: "e", Kind: fleet.KindPlain, Prefix: "/plain/", Address: netip.MustParseAddrPort(listener.Addr().String()),
	}
}

// startRouter serves callers over TCP, as the daemon does, and returns its server and address. Each request is granted the endpoint.
func startRouter(t *testing.T, endpoint fleet.Endpoint) (server *httpserver.Server, address string) {
	t.Helper()
	submit := func(r fleet.Request) <-chan control.Answer {
		answers := make(chan control.Answer, 1)
		answers <- control.Answer{
			Granted: true, NotAfter: time.Now().Add(time.Minute), Ticket: fleet.Ticket{ID: "t", RequestID: r.ID, Endpoint: endpoint.Name, Adapter: r.Adapter},
		}
		return answers
	}
	dialect := engine.NewVLLM(engine.VLLMOptions{
		Transport: engine.NewTransport(engine.TransportOptions{DialTimeout: testTimeout, HeaderTimeout: testTimeout, MaxIdlePerHost: 1}), Timeout: testTimeout,
	})
	dialect.Cancel = func(context.Context, fleet.Endpoint, string) error { return nil }
	service := relay.New(relay.Options{
		Control: relay.Control{Submit: submit, Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {}},
		Dialect: dialect, Endpoints: []fleet.Endpoint{endpoint}, Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1,
		SlowReader: testTimeout, EndpointSilent: testTimeout, CancelLife: time.Millisecond, Now: time.Now,
	})
	t.Cleanup(service.Wait)
	adapters, _, err := catalog.New().Apply(1, []catalog.Change{{Kind: catalog.CreateAdapter, Name: "a", Base: "base", Version: 1}})
	require.NoError(t, err)
	router := caller.New(caller.Options{
		Relay: service, Catalog: func() *catalog.Catalog { return adapters }, Configured: isConfigured, Endpoints: []fleet.Endpoint{endpoint}, Now: time.Now,
		MaxBodyBytes: 1 << 12, MaxRequests: 10, BytesPerToken: 4, OutputTokens: 16, DefaultWait: testTimeout,
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server, err = httpserver.New(httpserver.Options{Name: "callers", Listener: listener, Routes: router.Routes(), NotFound: router.NotFound()})
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String()
}

// callerFraming is how the head of a response says that the end of its body is known.
type callerFraming string

const (
	framedByLength callerFraming = "length"
	framedByChunks callerFraming = "chunks"
	framedByClose  callerFraming = "close"
)

func framingOf(response *http.Response) callerFraming {
	switch {
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	case response.ContentLength >= 0:
		return framedByLength
	default:
		return framedByClose
	}
}

// dialRouter sends a request over a connection of its own.
func dialRouter(t *testing.T, address, request string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	return conn.(*net.TCPConn)
}

// TestEndOfPlainAnswerIsToldAsByEndpoint guards against answers of a plain service that the service broke off by a close, and that reached the
// caller with a length which the daemon had counted.
func TestEndOfPlainAnswerIsToldAsByEndpoint(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for name, test := range map[string]struct {
		answer  string
		framing callerFraming
		body    string
	}{
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", framedByLength, "whole"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", framedByLength, "whole"},
		"close":           {"HTTP/1.1 200 OK\r\n\r\nwhole or not", framedByClose, "whole or not"},
		"close, HTTP 1.0": {"HTTP/1.0 200 OK\r\n\r\nwhole or not", framedByClose, "whole or not"},
		"close, large":    {"HTTP/1.1 200 OK\r\n\r\n" + large, framedByClose, large},
		"close, error":    {"HTTP/1.1 404 Not Found\r\n\r\nno such", framedByClose, "no such"},
	} {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", caller of "+protocol, func(t *testing.T) {
				_, address := startRouter(t, startRawEndpoint(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, test.answer) }))
				conn := dialRouter(t, address, "GET /plain/x "+protocol+"\r\nHost: h\r\n\r\n")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				defer func() { _ = response.Body.Close() }()
				content, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				assert.Equal(t, test.framing, framingOf(response))
				assert.True(t, test.body == string(content), "%d bytes", len(content))
			})
		}
	}
}

// TestEndOfDaemonIsNotEndOfPlainAnswer covers an answer that ends with the connection, of which the caller has read a part when the daemon
// closes its connections.
func TestEndOfDaemonIsNotEndOfPlainAnswer(t *testing.T) {
	const size = 16 << 20
	endpoint := startRawEndpoint(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = conn.Write(make([]byte, size))
	})
	server, address := startRouter(t, endpoint)
	conn := dialRouter(t, address, "GET /plain/x HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, framedByClose, framingOf(response))
	require.NoError(t, server.Close())
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err)
}

// TestRequestEndedByCallerGetsNoCompleteAnswer guards against answers that look complete to a caller which closes its own direction only: its
// request is ended as for a caller that left, but it still reads.
func TestRequestEndedByCallerGetsNoCompleteAnswer(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		event = "data: {\"model\":\"a@1\"}\n\n"
		body  = `{"model":"a","stream":true}`
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	stream := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, test := range map[string]struct {
		request, answer string
		// received is what the caller reads before it closes its direction.
		received string
	}{
		"before an answer": {request: "GET /plain/x HTTP/1.1\r\nHost: h\r\n\r\n"},
		"inside an answer": {request: "GET /plain/x HTTP/1.1\r\nHost: h\r\n\r\n", answer: head + chunk},
		"before a stream":  {request: stream},
		"inside a stream":  {request: stream, answer: head + chunk, received: event},
	} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			_, address := startRouter(t, startRawEndpoint(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, test.answer)
				close(begun)
				<-ended
			}))
			conn := dialRouter(t, address, test.request)
			<-begun
			var got bytes.Buffer
			for !strings.Contains(got.String(), test.received) {
				_, err := io.CopyN(&got, conn, 1)
				require.NoError(t, err)
			}
			require.NoError(t, conn.CloseWrite())
			_, _ = io.Copy(&got, conn)
			response, err := http.ReadResponse(bufio.NewReader(&got), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Error(t, err, "no whole answer is known")
		})
	}
}

// TestHeadTellsLengthOfPlainService guards against answers to HEAD that state the length of the body that was not sent, which is 0.
func TestHeadTellsLengthOfPlainService(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		length int64
	}{
		"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 123456\r\n\r\n", 123456},
		"empty":     {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", -1},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", -1},
		"error":     {"HTTP/1.1 404 Not Found\r\nContent-Length: 12\r\n\r\n", 12},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startRouter(t, startRawEndpoint(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, test.answer) }))
			conn := dialRouter(t, address, "HEAD /plain/x HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodHead})
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, test.length, response.ContentLength)
		})
	}
}
