// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/callerconn"
)

const patience = 10 * time.Second

// pair gives both ends of a connection, and where the account of the accepted one arrives.
func pair(t *testing.T) (accepted *callerconn.Conn, caller net.Conn, reports chan callerconn.Report) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	reports = make(chan callerconn.Report, 1)
	own := callerconn.NewListener(listener.(*net.TCPListener), func(r callerconn.Report) { reports <- r })
	t.Cleanup(func() { _ = own.Close() })
	caller, err = net.DialTimeout("tcp4", own.Addr().String(), patience)
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := own.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	accepted = conn.(*callerconn.Conn)
	return accepted, caller, reports
}

func TestTheAccountOfAConnection(t *testing.T) {
	for name, test := range map[string]struct {
		act        func(t *testing.T, accepted *callerconn.Conn, caller net.Conn)
		reason     callerconn.Reason
		requests   int
		unanswered int
	}{
		"nothing came": {func(*testing.T, *callerconn.Conn, net.Conn) {}, callerconn.NoRequest, 0, 0},
		"an answer that is the last one": {func(_ *testing.T, accepted *callerconn.Conn, _ net.Conn) {
			accepted.BeginRequest()
			accepted.EndRequest()
		}, callerconn.AfterAnswer, 1, 0},
		"an answer that was broken off": {func(_ *testing.T, accepted *callerconn.Conn, _ net.Conn) {
			accepted.BeginRequest()
			accepted.EndRequest()
			accepted.BeginRequest()
		}, callerconn.BrokenOff, 2, 1},
		"the idle limit": {func(_ *testing.T, accepted *callerconn.Conn, _ net.Conn) {
			accepted.EndAs(callerconn.IdleLimit)
			accepted.EndAs(callerconn.Stopping)
		}, callerconn.IdleLimit, 0, 0},
		"the idle limit on a request": {func(_ *testing.T, accepted *callerconn.Conn, _ net.Conn) {
			accepted.EndAs(callerconn.IdleLimit)
			accepted.BeginRequest()
		}, callerconn.IdleLimit, 1, 1},
		"a caller that ends it": {func(t *testing.T, accepted *callerconn.Conn, caller net.Conn) {
			accepted.BeginRequest()
			require.NoError(t, caller.Close())
			_, err := accepted.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		}, callerconn.CallerEnded, 1, 1},
		"a read that took too long is no end": {func(t *testing.T, accepted *callerconn.Conn, _ net.Conn) {
			require.NoError(t, accepted.SetReadDeadline(time.Unix(1, 0)))
			_, err := accepted.Read(make([]byte, 1))
			require.Error(t, err)
		}, callerconn.NoRequest, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, caller, reports := pair(t)
			test.act(t, accepted, caller)
			require.NoError(t, accepted.Close())
			accepted.Ended()
			got := <-reports
			assert.Equal(t, caller.LocalAddr().String(), got.Caller.String())
			assert.Equal(t, callerconn.Report{Reason: test.reason, Caller: got.Caller, Requests: test.requests, Unanswered: test.unanswered}, got)
		})
	}
}

func TestAConnectionIsFoundInTheContextOfItsRequests(t *testing.T) {
	accepted, caller, _ := pair(t)
	assert.Same(t, accepted, callerconn.From(callerconn.Context(context.Background(), accepted)))
	assert.Nil(t, callerconn.From(callerconn.Context(context.Background(), caller)))
}
