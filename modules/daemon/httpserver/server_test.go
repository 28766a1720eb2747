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
	patience = 10 * time.Second
	path     = "/here"
)

// running is a server at work on a loopback port.
type running struct {
	*httpserver.Server
	address string
	ended   chan error
}

func route(handler http.HandlerFunc) []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: path, Handler: handler}}
}

func serve(t *testing.T, o httpserver.Options) *running {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o.Name, o.Listener = "test", listener
	server, err := httpserver.New(o)
	require.NoError(t, err)
	r := &running{Server: server, address: listener.Addr().String(), ended: make(chan error, 1)}
	go func() { r.ended <- server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// get gives the status and the body of an answer.
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

func TestRoutesAreServedAndAllElseGoesToNotFound(t *testing.T) {
	r := serve(t, httpserver.Options{Routes: route(text("here")), NotFound: text("elsewhere")})
	for path, body := range map[string]string{path: "here", "/other": "elsewhere", "/": "elsewhere"} {
		status, got := get(t, http.DefaultClient, "http://"+r.address+path)
		require.Equal(t, http.StatusOK, status, path)
		require.Equal(t, body, got, path)
	}
}

func TestWithoutNotFoundAnUnknownPathIsRefused(t *testing.T) {
	r := serve(t, httpserver.Options{Routes: route(text("here"))})
	status, _ := get(t, http.DefaultClient, "http://"+r.address+"/other")
	require.Equal(t, http.StatusNotFound, status)
}

func TestAPanicBreaksOffItsOwnConnectionOnly(t *testing.T) {
	r := serve(t, httpserver.Options{Routes: route(func(http.ResponseWriter, *http.Request) { panic("cause") }), NotFound: text("elsewhere")})
	resp, err := http.Get("http://" + r.address + path)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.ErrorIs(t, err, io.EOF, "no answer claims that the request did not run")
	_, got := get(t, http.DefaultClient, "http://"+r.address+"/other")
	require.Equal(t, "elsewhere", got)
}

func TestAnAnswerIsPassedOnInPartsWhileItsHandlerGoesOn(t *testing.T) {
	read := make(chan struct{})
	r := serve(t, httpserver.Options{Routes: route(func(w http.ResponseWriter, _ *http.Request) {
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

// open starts a request that its handler answers after release is closed, and waits until the handler runs.
func open(t *testing.T) (r *running, release chan struct{}, answered chan error) {
	t.Helper()
	release, answered = make(chan struct{}), make(chan error, 1)
	begun := make(chan struct{})
	r = serve(t, httpserver.Options{Routes: route(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})})
	go func() {
		resp, err := http.Get("http://" + r.address + path)
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-begun
	return r, release, answered
}

func TestAShutdownWaitsForOpenRequestsAndTakesNoNewOnes(t *testing.T) {
	r, release, answered := open(t)
	down := make(chan error, 1)
	go func() { down <- r.Shutdown(context.Background()) }()
	require.ErrorIs(t, <-r.ended, http.ErrServerClosed)
	require.Empty(t, down)
	_, err := net.Dial("tcp", r.address)
	require.Error(t, err)
	close(release)
	require.NoError(t, <-answered)
	require.NoError(t, <-down)
}

// TestAShutdownServesARequestWhoseHeadIsOnItsWay is about requests that were read while a shutdown closed what rests, and were dropped
// without an answer.
func TestAShutdownServesARequestWhoseHeadIsOnItsWay(t *testing.T) {
	const head = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	r := serve(t, httpserver.Options{Routes: route(text("here"))})
	ask := func(conn net.Conn, reader *bufio.Reader, text string) *http.Response {
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
		require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
		reader := bufio.NewReader(conn)
		if kept {
			require.False(t, ask(conn, reader, head).Close)
		}
		_, err = io.WriteString(conn, head[:10])
		require.NoError(t, err)
		defer func() {
			resp := ask(conn, reader, head[10:])
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.True(t, resp.Close, "the answer says that it is the last one")
		}()
	}
	time.Sleep(100 * time.Millisecond)
	down := make(chan error, 1)
	go func() { down <- r.Shutdown(context.Background()) }()
	require.ErrorIs(t, <-r.ended, http.ErrServerClosed)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, down)
}

func TestAShutdownEndsItsWaitWithItsContextAndCloseBreaksOff(t *testing.T) {
	r, release, answered := open(t)
	defer close(release)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.Shutdown(ended), context.Canceled)
	require.NoError(t, r.Close())
	select {
	case err := <-answered:
		require.Error(t, err)
	case <-time.After(patience):
		require.Fail(t, "the connection is still open")
	}
}

func TestAListenerWithTLSServesOnlyThat(t *testing.T) {
	source := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(source.Close)
	r := serve(t, httpserver.Options{Routes: route(text("here")), TLS: &tls.Config{Certificates: source.TLS.Certificates, MinVersion: tls.VersionTLS12}})
	_, got := get(t, source.Client(), "https://"+r.address+path)
	require.Equal(t, "here", got)
	status, _ := get(t, http.DefaultClient, "http://"+r.address+path)
	require.Equal(t, http.StatusBadRequest, status)
}

func TestRoutesThatExcludeEachOtherAreAnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	routes := append(route(text("a")), route(text("b"))...)
	_, err = httpserver.New(httpserver.Options{Name: "test", Listener: listener, Routes: routes})
	require.ErrorAs(t, err, &httpserver.ErrNotBuilt{})
	require.ErrorContains(t, err, "test")
}
