// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest"

	"github.com/shelfledge/shelfledge/modules/daemon/httpserver"
)

const (
	testTimeout = 10 * time.Second
	path        = "/here"
)

// runningServer is a server that serves on a loopback port.
type runningServer struct {
	*httpserver.Server
	address  string
	serveErr chan error
}

func testRoute(handler http.HandlerFunc) []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: path, Handler: handler}}
}

func startServer(t *testing.T, o httpserver.Options) *runningServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o.Name, o.Listener = "test", listener
	server, err := httpserver.New(o)
	require.NoError(t, err)
	r := &runningServer{Server: server, address: listener.Addr().String(), serveErr: make(chan error, 1)}
	go func() { r.serveErr <- server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// get returns the status and the body of a response.
func get(t *testing.T, client *http.Client, url string) (int, string) {
	t.Helper()
	resp, err := client.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, body)
	}
}

func TestUnknownPathsGoToNotFoundHandler(t *testing.T) {
	r := startServer(t, httpserver.Options{Routes: testRoute(text("here")), NotFound: text("elsewhere")})
	for path, body := range map[string]string{path: "here", "/other": "elsewhere", "/": "elsewhere"} {
		status, got := get(t, http.DefaultClient, "http://"+r.address+path)
		require.Equal(t, http.StatusOK, status, path)
		require.Equal(t, body, got, path)
	}
}

func TestUnknownPathReturns404WithoutNotFoundHandler(t *testing.T) {
	r := startServer(t, httpserver.Options{Routes: testRoute(text("here"))})
	status, _ := get(t, http.DefaultClient, "http://"+r.address+"/other")
	require.Equal(t, http.StatusNotFound, status)
}

func TestPanicClosesOnlyItsConnection(t *testing.T) {
	r := startServer(t, httpserver.Options{Routes: testRoute(func(http.ResponseWriter, *http.Request) { panic("cause") }), NotFound: text("elsewhere")})
	resp, err := http.Get("http://" + r.address + path)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.ErrorIs(t, err, io.EOF, "no response may state that the request was not run")
	_, got := get(t, http.DefaultClient, "http://"+r.address+"/other")
	require.Equal(t, "elsewhere", got)
}

func TestResponseIsStreamedWhileHandlerRuns(t *testing.T) {
	read := make(chan struct{})
	r := startServer(t, httpserver.Options{Routes: testRoute(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-read
		_, _ = io.WriteString(w, "second\n")
	})})
	resp, err := http.Get("http://" + r.address + path)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "first\n", first)
	close(read)
	second, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "second\n", second)
}

// startBlockedRequest starts a request whose handler returns after release is closed, and waits until the handler runs. The result of the
// request is sent to answered.
func startBlockedRequest(t *testing.T) (r *runningServer, release chan struct{}, answered chan error) {
	t.Helper()
	release, answered = make(chan struct{}), make(chan error, 1)
	started := make(chan struct{})
	r = startServer(t, httpserver.Options{Routes: testRoute(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})})
	go func() {
		resp, err := http.Get("http://" + r.address + path)
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-started
	return r, release, answered
}

func TestShutdownWaitsForOpenRequestsAndRefusesConnections(t *testing.T) {
	r, release, answered := startBlockedRequest(t)
	down := make(chan error, 1)
	go func() { down <- r.Shutdown(context.Background()) }()
	require.ErrorIs(t, <-r.serveErr, http.ErrServerClosed)
	require.Empty(t, down)
	_, err := net.Dial("tcp", r.address)
	require.Error(t, err)
	close(release)
	require.NoError(t, <-answered)
	require.NoError(t, <-down)
}

// TestShutdownServesPartiallyReceivedRequest guards against a shutdown that closes a connection as idle while a request header is being
// received, so that the request is dropped without a response.
func TestShutdownServesPartiallyReceivedRequest(t *testing.T) {
	const head = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	r := startServer(t, httpserver.Options{Routes: testRoute(text("here"))})
	send := func(conn net.Conn, reader *bufio.Reader, text string) *http.Response {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp
	}
	for _, kept := range []bool{true, false} {
		conn, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		reader := bufio.NewReader(conn)
		if kept {
			require.False(t, send(conn, reader, head).Close)
		}
		_, err = io.WriteString(conn, head[:10])
		require.NoError(t, err)
		defer func() {
			resp := send(conn, reader, head[10:])
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.True(t, resp.Close, "the response announces that it is the last one")
		}()
	}
	time.Sleep(100 * time.Millisecond)
	down := make(chan error, 1)
	go func() { down <- r.Shutdown(context.Background()) }()
	require.ErrorIs(t, <-r.serveErr, http.ErrServerClosed)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, down)
}

func TestShutdownReturnsWithContextAndCloseAbortsRequests(t *testing.T) {
	r, release, answered := startBlockedRequest(t)
	defer close(release)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.Shutdown(ended), context.Canceled)
	require.NoError(t, r.Close())
	select {
	case err := <-answered:
		require.Error(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the connection is still open")
	}
}

func TestTLSListenerRejectsPlainHTTP(t *testing.T) {
	source := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(source.Close)
	r := startServer(t, httpserver.Options{Routes: testRoute(text("here")), TLS: &tls.Config{Certificates: source.TLS.Certificates, MinVersion: tls.VersionTLS12}})
	_, got := get(t, source.Client(), "https://"+r.address+path)
	require.Equal(t, "here", got)
	status, _ := get(t, http.DefaultClient, "http://"+r.address+path)
	require.Equal(t, http.StatusBadRequest, status)
}

func TestConflictingRoutesAreAnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	routes := append(testRoute(text("a")), testRoute(text("b"))...)
	_, err = httpserver.New(httpserver.Options{Name: "test", Listener: listener, Routes: routes})
	require.ErrorAs(t, err, &httpserver.ErrNotBuilt{})
	require.ErrorContains(t, err, "test")
}
