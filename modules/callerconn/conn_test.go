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
	patience = 10 * time.Second
	long     = time.Minute
	short    = 50 * time.Millisecond
)

// pair is both ends of a connection.
type pair struct {
	t        *testing.T
	listener *callerconn.Listener
	accepted *callerconn.Conn
	caller   net.Conn
	reports  chan callerconn.Report
	limit    atomic.Int64
}

func newPair(t *testing.T, limit time.Duration) *pair {
	t.Helper()
	p := &pair{t: t, reports: make(chan callerconn.Report, 1)}
	p.limit.Store(int64(limit))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p.listener = callerconn.NewListener(listener.(*net.TCPListener), callerconn.Options{
		IdleLimit: func() time.Duration { return time.Duration(p.limit.Load()) },
		Ended:     func(r callerconn.Report) { p.reports <- r }, Now: time.Now,
	})
	t.Cleanup(func() { _ = p.listener.Close() })
	p.caller, err = net.DialTimeout("tcp4", p.listener.Addr().String(), patience)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.caller.Close() })
	conn, err := p.listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p.accepted = conn.(*callerconn.Conn)
	return p
}

// rest begins a rest as net/http does.
func (p *pair) rest() {
	p.listener.StateChanged(p.accepted, http.StateIdle)
	require.NoError(p.t, p.accepted.SetReadDeadline(time.Time{}))
}

// send has the caller send, and waits until it has arrived.
func (p *pair) send(text string) {
	_, err := io.WriteString(p.caller, text)
	require.NoError(p.t, err)
	time.Sleep(short)
}

// read reads once, as long as the test has patience.
func (p *pair) read() (string, error) {
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
	case <-time.After(patience):
		require.Fail(p.t, "the read does not end")
		return "", nil
	}
}

// end ends the connection as net/http does, and gives its account.
func (p *pair) end() callerconn.Report {
	require.NoError(p.t, p.accepted.Close())
	p.listener.StateChanged(p.accepted, http.StateClosed)
	return <-p.reports
}

func TestTheAccountOfAConnection(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(p *pair)
		want callerconn.Report
	}{
		"nothing came": {func(*pair) {}, callerconn.Report{Reason: callerconn.NoRequest}},
		"an answer that is the last one": {func(p *pair) {
			p.accepted.BeginRequest()
			p.accepted.EndRequest()
		}, callerconn.Report{Reason: callerconn.AfterAnswer, Requests: 1}},
		"an answer that was broken off": {func(p *pair) {
			p.accepted.BeginRequest()
			p.accepted.EndRequest()
			p.accepted.BeginRequest()
		}, callerconn.Report{Reason: callerconn.BrokenOff, Requests: 2, Unanswered: 1}},
		"a caller that ends it": {func(p *pair) {
			p.accepted.BeginRequest()
			require.NoError(p.t, p.caller.Close())
			_, err := p.read()
			require.ErrorIs(p.t, err, io.EOF)
		}, callerconn.Report{Reason: callerconn.CallerEnded, Requests: 1, Unanswered: 1}},
		"a read that was interrupted is no end": {func(p *pair) {
			require.NoError(p.t, p.accepted.SetReadDeadline(time.Unix(1, 0)))
			_, err := p.read()
			require.ErrorIs(p.t, err, os.ErrDeadlineExceeded)
		}, callerconn.Report{Reason: callerconn.NoRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, long)
			test.act(p)
			got := p.end()
			assert.Equal(t, p.caller.LocalAddr().String(), got.Caller.String())
			test.want.Caller = got.Caller
			assert.Equal(t, test.want, got)
		})
	}
}

func TestARestEndsAtItsLimit(t *testing.T) {
	p := newPair(t, short)
	began := time.Now()
	p.rest()
	_, err := p.read()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.GreaterOrEqual(t, time.Since(began), short)
	assert.Equal(t, callerconn.IdleLimit, p.end().Reason)
}

// TestWhatCameIsReadThoughTheLimitIsOver: a process that stood still finds the limit over and the request there.
func TestWhatCameIsReadThoughTheLimitIsOver(t *testing.T) {
	p := newPair(t, short)
	p.rest()
	p.send("request")
	time.Sleep(2 * short)
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "request", got)
}

// TestARequestThatBeganHasItsOwnBounds: the rest's deadline does not cut the rest of a request off.
func TestARequestThatBeganHasItsOwnBounds(t *testing.T) {
	p := newPair(t, 4*short)
	p.rest()
	p.send("POST")
	_, err := p.read()
	require.NoError(t, err)
	require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(patience)))
	go func() {
		time.Sleep(6 * short)
		_, _ = io.WriteString(p.caller, "more")
	}()
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "more", got)
}

// TestAFewBytesHoldNoConnectionForEver: net/http sets a bound only once it has four bytes.
func TestAFewBytesHoldNoConnectionForEver(t *testing.T) {
	p := newPair(t, short)
	p.rest()
	p.send("P")
	_, err := p.read()
	require.NoError(t, err)
	_, err = p.read()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestALimitThatIsRaisedHoldsForARestThatHasBegun(t *testing.T) {
	p := newPair(t, short)
	p.rest()
	p.limit.Store(int64(long))
	go func() {
		time.Sleep(4 * short)
		_, _ = io.WriteString(p.caller, "request")
	}()
	got, err := p.read()
	require.NoError(t, err)
	assert.Equal(t, "request", got)
}

func TestARequestThatCameWithTheOneBeforeEndsTheRest(t *testing.T) {
	p := newPair(t, short)
	p.rest()
	require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(patience)), "net/http reads the head from its own buffer")
	require.NoError(t, p.accepted.SetReadDeadline(time.Time{}))
	require.NoError(t, p.listener.Leave())
	go func() {
		time.Sleep(4 * short)
		_, _ = io.WriteString(p.caller, "body")
	}()
	got, err := p.read()
	require.NoError(t, err, "neither the limit nor a stop ends the read of its body")
	assert.Equal(t, "body", got)
}

func TestAStopEndsRestsAndServesWhatCame(t *testing.T) {
	for name, test := range map[string]struct {
		before func(p *pair)
		after  string
		got    string
	}{
		"a rest":                             {before: func(p *pair) { p.rest() }},
		"a rest with a request that came":    {before: func(p *pair) { p.rest(); p.send("request") }, got: "request"},
		"a new connection":                   {before: func(*pair) {}},
		"a new connection that soon asks":    {before: func(*pair) {}, after: "request", got: "request"},
		"a new connection with a request":    {before: func(p *pair) { p.send("request") }, got: "request"},
		"a rest that begins during the stop": {before: func(p *pair) { defer p.rest(); require.NoError(p.t, p.listener.Leave()) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, long)
			require.NoError(t, p.accepted.SetReadDeadline(time.Now().Add(long)))
			test.before(p)
			require.NoError(t, p.listener.Leave())
			if test.after != "" {
				p.send(test.after)
			}
			got, err := p.read()
			assert.Equal(t, test.got, got)
			if test.got == "" {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				assert.Equal(t, callerconn.Stopping, p.end().Reason)
			}
		})
	}
}

func TestAStopWaitsForTheLastConnection(t *testing.T) {
	p := newPair(t, long)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, p.listener.Leave())
	require.ErrorIs(t, p.listener.Wait(over), context.Canceled)
	p.end()
	require.NoError(t, p.listener.Wait(context.Background()))
	require.NoError(t, p.listener.Close(), "who serves the listener closes it, too")
}

func TestAConnectionIsFoundInTheContextOfItsRequests(t *testing.T) {
	p := newPair(t, long)
	assert.Same(t, p.accepted, callerconn.From(callerconn.Context(context.Background(), p.accepted)))
	assert.Nil(t, callerconn.From(callerconn.Context(context.Background(), p.caller)))
}
