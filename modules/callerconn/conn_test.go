// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/callerconn"
)

const (
	testTimeout = 10 * time.Second
	longIdle    = time.Minute
	shortIdle   = 50 * time.Millisecond
)

// connPair holds both ends of a connection.
type connPair struct {
	t           *testing.T
	listener    *callerconn.Listener
	accepted    *callerconn.Conn
	caller      net.Conn
	reports     chan callerconn.Report
	idleTimeout atomic.Int64
}

func newConnPair(t *testing.T, idleTimeout time.Duration) *connPair {
	t.Helper()
	p := &connPair{t: t, reports: make(chan callerconn.Report, 1)}
	p.idleTimeout.Store(int64(idleTimeout))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p.listener = callerconn.NewListener(listener.(*net.TCPListener), callerconn.Options{
		MaxIdleTime: func() time.Duration { return time.Duration(p.idleTimeout.Load()) },
		OnClose:     func(r callerconn.Report) { p.reports <- r }, Now: time.Now,
	})
	t.Cleanup(func() { _ = p.listener.Close() })
	p.caller, err = net.DialTimeout("tcp4", p.listener.Addr().String(), testTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.caller.Close() })
	conn, err := p.listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p.accepted = conn.(*callerconn.Conn)
	return p
}

// startIdle makes the accepted connection idle as net/http does.
func (p *connPair) startIdle() {
	p.listener.StateChanged(p.accepted, http.StateIdle)
	require.NoError(p.t, p.accepted.SetReadDeadline(time.Time{}))
}

// send sends text from the caller's end and waits until it has arrived.
func (p *connPair) send(text string) {
	_, err := io.WriteString(p.caller, text)
	require.NoError(p.t, err)
	time.Sleep(shortIdle)
}

// read reads once from the accepted connection; the test fails if that takes longer than testTimeout.
func (p *connPair) read() (string, error) {
	type outcome struct {
		text string
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		buffer := make([]byte, 100)
		n, err := p.accepted.Read(buffer)
		done <- outcome{string(buffer[:n]), err}
	}()
	select {
	case got := <-done:
		return got.text, got.err
	case <-time.After(testTimeout):
		require.Fail(p.t, "the read did not return")
		return "", nil
	}
}

// close ends the accepted connection as net/http does and returns its report.
func (p *connPair) close() callerconn.Report {
	require.NoError(p.t, p.accepted.Close())
	p.listener.StateChanged(p.accepted, http.StateClosed)
	return <-p.reports
}

func TestReportOfClosedConnection(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(p *connPair)
		want callerconn.Report
	}{
		"no bytes received": {func(*connPair) {}, callerconn.Report{Reason: callerconn.ReasonNoRequest}},
		"closed after a complete response": {func(p *connPair) {
			p.accepted.BeginRequest()
			p.accepted.EndRequest()
		}, callerconn.Report{Reason: callerconn.ReasonAfterResponse, Requests: 1}},
		"aborted response": {func(p *connPair) {
			p.accepted.BeginRequest()
			p.accepted.EndRequest()
			p.accepted.BeginRequest()
		}, callerconn.Report{Reason: callerconn.ReasonAborted, Requests: 2, Unanswered: 1}},
		"closed by the caller": {func(p *connPair) {
			p.accepted.BeginRequest()
			require.NoError(p.t, p.caller.Close())
			_, err := p.read()
			require.ErrorIs(p.t, err, io.EOF)
		}, callerconn.Report{Reason: callerconn.ReasonClosedByCaller, Requests: 1, Unanswered: 1}},
		"interrupted read does not set a reason": {func(p *connPair) {
			require.NoError(p.t, p.accepted.SetReadDeadline(time.Unix(1, 0)))
			_, err := p.read()
			require.ErrorIs(p.t, err, os.ErrDeadlineExceeded)
		}, callerconn.Report{Reason: callerconn.ReasonNoRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newConnPair(t, longIdle)
			test.act(p)
			got := p.close()
			assert.Equal(t, p.caller.LocalAddr().String(), got.Caller.String())
			test.want.Caller = got.Caller
			assert.Equal(t, test.want, got)
		})
	}
}

func TestIdleConnectionEndsAtIdleTimeout(t *testing.T) {
	p := newConnPair(t, shortIdle)
	started := time.Now()
	p.startIdle()
	_, err := p.read()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.GreaterOrEqual(t, time.Since(started), shortIdle)
	assert.Equal(t, callerconn.ReasonIdleTimeout, p.close().Reason)
}

// TestReceivedRequestIsReadAfterIdleTimeout covers a process that was paused: the idle timeout has passed, but a request has arrived.
func TestReceivedRequestIsReadAfterIdleTimeout(t *testing.T) {
	p := newConnPair(t, shortIdle)
	p.startIdle()
	p.send("request")
	time.Sleep(2 * shortIdle)
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "request", got)
}

// TestIdleTimeoutDoesNotCutOffStartedRequest checks that the idle deadline does not apply to the remainder of a request.
func TestIdleTimeoutDoesNotCutOffStartedRequest(t *testing.T) {
	p := newConnPair(t, 4*shortIdle)
	p.startIdle()
	p.send("POST")
	_, err := p.read()
	require.NoError(t, err)
	require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(testTimeout)))
	go func() {
		time.Sleep(6 * shortIdle)
		_, _ = io.WriteString(p.caller, "more")
	}()
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "more", got)
}

// TestIdleTimeoutAppliesAfterPartialRequest sends a single byte: net/http sets a deadline only after it has read four bytes, so that
// a connection with fewer bytes would otherwise stay open forever.
func TestIdleTimeoutAppliesAfterPartialRequest(t *testing.T) {
	p := newConnPair(t, shortIdle)
	p.startIdle()
	p.send("P")
	_, err := p.read()
	require.NoError(t, err)
	_, err = p.read()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestRaisedIdleTimeoutAppliesToIdleConnection(t *testing.T) {
	p := newConnPair(t, shortIdle)
	p.startIdle()
	p.idleTimeout.Store(int64(longIdle))
	go func() {
		time.Sleep(4 * shortIdle)
		_, _ = io.WriteString(p.caller, "request")
	}()
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "request", got)
}

func TestPipelinedRequestEndsIdleState(t *testing.T) {
	p := newConnPair(t, shortIdle)
	p.startIdle()
	require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(testTimeout)), "net/http reads the header from its own buffer")
	require.NoError(t, p.accepted.SetReadDeadline(time.Time{}))
	require.NoError(t, p.listener.BeginShutdown())
	go func() {
		time.Sleep(4 * shortIdle)
		_, _ = io.WriteString(p.caller, "body")
	}()
	got, err := p.read()
	require.NoError(t, err, "neither the idle timeout nor a shutdown ends the read of the request body")
	assert.Equal(t, "body", got)
}

func TestShutdownClosesIdleConnectionsAndServesReceivedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		before func(p *connPair)
		after  string
		got    string
	}{
		"idle connection":                                  {before: func(p *connPair) { p.startIdle() }},
		"idle connection with a received request":          {before: func(p *connPair) { p.startIdle(); p.send("request") }, got: "request"},
		"new connection":                                   {before: func(*connPair) {}},
		"new connection that sends a request later":        {before: func(*connPair) {}, after: "request", got: "request"},
		"new connection with a received request":           {before: func(p *connPair) { p.send("request") }, got: "request"},
		"connection that becomes idle during the shutdown": {before: func(p *connPair) { defer p.startIdle(); require.NoError(p.t, p.listener.BeginShutdown()) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newConnPair(t, longIdle)
			require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(longIdle)))
			test.before(p)
			require.NoError(t, p.listener.BeginShutdown())
			if test.after != "" {
				p.send(test.after)
			}
			got, err := p.read()
			assert.Equal(t, test.got, got)
			if test.got == "" {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				assert.Equal(t, callerconn.ReasonShutdown, p.close().Reason)
			}
		})
	}
}

func TestWaitReturnsAfterLastConnectionCloses(t *testing.T) {
	p := newConnPair(t, longIdle)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, p.listener.BeginShutdown())
	require.ErrorIs(t, p.listener.Wait(cancelled), context.Canceled)
	p.close()
	require.NoError(t, p.listener.Wait(context.Background()))
	require.NoError(t, p.listener.Close(), "the HTTP code that serves the listener closes it again")
}

func TestRequestContextHoldsConnection(t *testing.T) {
	p := newConnPair(t, longIdle)
	assert.Same(t, p.accepted, callerconn.FromContext(callerconn.WithConn(context.Background(), p.accepted)))
	assert.Nil(t, callerconn.FromContext(callerconn.WithConn(context.Background(), p.caller)))
}
