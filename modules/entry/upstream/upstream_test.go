// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// endpoint is a listener whose answers a test writes byte by byte.
type endpoint struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// newEndpoint starts an endpoint. For each request it writes the text that answer returns for the number of the request; an empty text
// closes the connection.
func newEndpoint(t *testing.T, answer func(number int64) string) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.serve(conn, answer)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn, answer func(int64) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := answer(e.requests.Add(1))
		if text == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
	}
}

func (e *endpoint) target() upstream.Target {
	return upstream.Target{Key: "e", Address: e.listener.Addr().(*net.TCPAddr).AddrPort()}
}

func newClient() *upstream.Client {
	return upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now})
}

func request(body string) *http.Request {
	outgoing := &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/x"}, Host: "h", Header: http.Header{}}
	if body != "" {
		outgoing.Body = io.NopCloser(strings.NewReader(body))
		outgoing.ContentLength = int64(len(body))
	}
	return outgoing
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func exchange(t *testing.T, client *upstream.Client, call upstream.Call) string {
	t.Helper()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	require.NoError(t, err)
	return string(body)
}

func TestConnectionsAreReused(t *testing.T) {
	e := newEndpoint(t, func(number int64) string { return okResponse("", fmt.Sprint(number)) })
	client := newClient()
	for number := 1; number <= 3; number++ {
		assert.Equal(t, fmt.Sprint(number), exchange(t, client, upstream.Call{Target: e.target(), Request: request("body")}))
	}
	assert.Equal(t, int64(1), e.accepted.Load())
	assert.Equal(t, uint64(1), client.DialCount())
}

// delayedWriteConn is a connection whose writes return only some time after their bytes have arrived.
type delayedWriteConn struct {
	net.Conn
	delay time.Duration
}

func (c delayedWriteConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	time.Sleep(c.delay)
	return n, err
}

// TestAnswerBeforeWriterReturnsKeepsConnection: an answer may have been read completely before the goroutine that writes the body reports
// that it has finished. The test runs on a fake clock, so that a busy host does not delay the writer.
func TestAnswerBeforeWriterReturnsKeepsConnection(t *testing.T) {
	const exchanges = 5
	for delay, dialed := range map[time.Duration]uint64{3 * time.Millisecond: 1, 9 * time.Millisecond: 1, 11 * time.Millisecond: exchanges} {
		synctest.Test(t, func(t *testing.T) {
			e := &endpoint{}
			client := upstream.NewClient(upstream.Options{
				MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
				Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, far := net.Pipe()
					go e.serve(far, func(int64) string { return okResponse("", "x") })
					t.Cleanup(func() { _ = near.Close() })
					return delayedWriteConn{Conn: near, delay: delay}, nil
				},
			})
			target := upstream.Target{Key: "e", Address: netip.MustParseAddrPort("127.0.0.1:1")}
			for range exchanges {
				assert.Equal(t, "x", exchange(t, client, upstream.Call{Target: target, Request: request("body")}))
			}
			assert.Equal(t, dialed, client.DialCount(), delay)
			// synctest requires that all goroutines end before the test does: wait for the last writer.
			time.Sleep(delay)
		})
	}
}

func TestRequestIsNeverSentTwice(t *testing.T) {
	e := newEndpoint(t, func(number int64) string {
		if number == 1 {
			return okResponse("", "first")
		}
		return ""
	})
	client := newClient()
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	_, err := client.Do(context.Background(), upstream.Call{Target: e.target(), Request: request("")})
	require.Error(t, err)
	assert.False(t, upstream.NotSent(err), "the endpoint may have run it")
	assert.Equal(t, int64(2), e.requests.Load())
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	e := newEndpoint(t, func(int64) string {
		return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	})
	client := newClient()
	for range 3 {
		assert.Equal(t, "ok", exchange(t, client, upstream.Call{Target: e.target(), Request: request("")}))
	}
	assert.Equal(t, int64(3), e.accepted.Load())
}

func TestSurplusBytesCloseConnection(t *testing.T) {
	e := newEndpoint(t, func(number int64) string { return okResponse("", fmt.Sprint(number)) + okResponse("", "surplus") })
	client := newClient()
	for number := 1; number <= 3; number++ {
		assert.Equal(t, fmt.Sprint(number), exchange(t, client, upstream.Call{Target: e.target(), Request: request("")}))
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	e := newEndpoint(t, func(int64) string { return okResponse("old", "foreign") + okResponse("mine", "own") })
	answersMine := func(header http.Header) bool { return header.Get("Id") == "mine" }
	got := exchange(t, newClient(), upstream.Call{Target: e.target(), Request: request(""), AnswersRequest: answersMine})
	assert.Equal(t, "own", got)
}

func TestOnlyForeignAnswersAreAnError(t *testing.T) {
	e := newEndpoint(t, func(int64) string { return strings.Repeat(okResponse("old", "foreign"), 5) })
	call := upstream.Call{Target: e.target(), Request: request(""), AnswersRequest: func(http.Header) bool { return false }}
	_, err := newClient().Do(context.Background(), call)
	assert.ErrorIs(t, err, upstream.ErrForeignAnswer)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	e := newEndpoint(t, func(number int64) string {
		if number == 1 {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"
		}
		return ""
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	answer, err := newClient().Do(ctx, upstream.Call{Target: e.target(), Request: request("")})
	require.NoError(t, err)
	defer answer.Close()
	_, err = io.ReadAll(answer)
	assert.Error(t, err)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	e := newEndpoint(t, func(int64) string { return "" })
	target := e.target()
	require.NoError(t, e.listener.Close())
	_, err := newClient().Do(context.Background(), upstream.Call{Target: target, Request: request("")})
	assert.True(t, upstream.NotSent(err))
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(int64) string { <-release; return okResponse("", "x") })
	client := newClient()
	target := e.target()
	target.MaxConnections = 1
	done := make(chan struct{})
	go func() {
		defer close(done)
		answer, err := client.Do(context.Background(), upstream.Call{Target: target, Request: request("")})
		if assert.NoError(t, err) {
			answer.Close()
		}
	}()
	for e.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := client.Do(context.Background(), upstream.Call{Target: target, Request: request("")})
	require.ErrorIs(t, err, upstream.ErrNoConnection)
	close(release)
	<-done
}

func TestCancelEndsExchange(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	e := newEndpoint(t, func(int64) string { <-hang; return "" })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newClient().Do(ctx, upstream.Call{Target: e.target(), Request: request("")})
	require.Error(t, err)
	assert.False(t, upstream.NotSent(err))
}

func TestRetireClosesConnections(t *testing.T) {
	e := newEndpoint(t, func(int64) string { return okResponse("", "x") })
	client := newClient()
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	client.Retire("e")
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	assert.Equal(t, int64(2), e.accepted.Load())
}

func TestIdleConnectionsAreClosedBeforeEndpointLimit(t *testing.T) {
	e := newEndpoint(t, func(int64) string {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\nx"
	})
	now := time.Now()
	client := upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: func() time.Time { return now }})
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	now = now.Add(4 * time.Second)
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	assert.Equal(t, int64(1), e.accepted.Load())
	now = now.Add(4500 * time.Millisecond)
	client.CloseIdle(now)
	exchange(t, client, upstream.Call{Target: e.target(), Request: request("")})
	assert.Equal(t, int64(2), e.accepted.Load())
}

func TestConnectionsBeyondKeptOnesAreClosed(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(int64) string { <-release; return okResponse("", "x") })
	client := newClient()
	target := e.target()
	target.MaxConnections, target.MaxKept = 10, 2
	var exchanges sync.WaitGroup
	for range 5 {
		exchanges.Go(func() { exchange(t, client, upstream.Call{Target: target, Request: request("")}) })
	}
	for e.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	exchanges.Wait()
	open, idle := client.OpenCount()
	assert.Equal(t, 2, open)
	assert.Equal(t, 2, idle)
}

// TestLateCopyOfAnswerWithoutIDIsNotTakenForNextAnswer guards against a request that is told not to have run by the copy of a refusal of the
// request before.
func TestLateCopyOfAnswerWithoutIDIsNotTakenForNextAnswer(t *testing.T) {
	var e *endpoint
	e = newEndpoint(t, func(number int64) string {
		switch {
		case number == 1:
			return okResponse("", "refused")
		case e.accepted.Load() == 1:
			return okResponse("", "refused") + okResponse("mine", "ran")
		default:
			return okResponse("mine", "ran")
		}
	})
	client := newClient()
	call := upstream.Call{
		Target: e.target(), Request: request(""),
		AnswersRequest: func(header http.Header) bool { return header.Get("Id") == "" || header.Get("Id") == "mine" },
		Identified:     func(header http.Header) bool { return header.Get("Id") != "" },
	}
	assert.Equal(t, "refused", exchange(t, client, call))
	for range 3 {
		call.Request = request("")
		assert.Equal(t, "ran", exchange(t, client, call))
	}
	assert.Equal(t, int64(2), e.accepted.Load(), "connections whose answers tell their request are kept")
}
