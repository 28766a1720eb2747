// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/routers/entry/gateway"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// lastPort is the last port that a test of this process took.
var lastPort atomic.Uint32

// freeAddress gives an address of this host at which nobody listens: the loopback address is this process's own, and the port
// lies below those that the system hands out.
func freeAddress() netip.AddrPort {
	process := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(process >> 8), byte(process)}), uint16(20000+lastPort.Add(1)))
}

func options() gateway.Options {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return gateway.Options{
		Callers: freeAddress(), Ready: freeAddress(), Handler: http.NotFoundHandler(),
		IsReady: func() bool { return true }, Limits: func() *deployment.Limits { return nil },
		Now: time.Now, Log: logrus.NewEntry(logger), ObserveConnection: func(string, int) {},
	}
}

// stopped gives a context that is over, so that a stop does not wait.
func stopped() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestStreamsAreRefusedWhenTheyCouldNotEndBeforeTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		kind    deployment.RouteKind
		after   time.Duration
		refuses bool
	}{
		"a stream at the begin of the stop":    {deployment.Streaming, 0, false},
		"a stream at the bound":                {deployment.Streaming, 2700 * time.Millisecond, false},
		"a stream just after the bound":        {deployment.Streaming, 2700*time.Millisecond + 1, true},
		"a safe request just after the bound":  {deployment.Safe, 2700*time.Millisecond + 1, false},
		"an unsafe request long after it":      {deployment.Unsafe, time.Minute, false},
		"a stream, the clock set back in time": {deployment.Streaming, -time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			o := options()
			o.Now = func() time.Time { return now }
			server := gateway.New(o)
			server.Stop(stopped())
			now = start.Add(test.after)
			assert.Equal(t, test.refuses, server.Refusing(test.kind))
		})
	}
}

func TestNothingIsRefusedBeforeAStop(t *testing.T) {
	server := gateway.New(options())
	assert.False(t, server.Leaving())
	assert.False(t, server.Refusing(deployment.Streaming))
	server.Stop(stopped())
	assert.True(t, server.Leaving())
}

func statusOf(t *testing.T, address netip.AddrPort) int {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/", address))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestTheBalancerSeesWhetherTheInstanceIsReady(t *testing.T) {
	var ready atomic.Bool
	o := options()
	o.IsReady = ready.Load
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	assert.Equal(t, http.StatusServiceUnavailable, statusOf(t, o.Ready))
	ready.Store(true)
	assert.Equal(t, http.StatusOK, statusOf(t, o.Ready))
}

// TestALeavingInstanceIsNotReady: while the balancer has time to notice, requests are still served.
func TestALeavingInstanceIsNotReady(t *testing.T) {
	o := options()
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		server.Stop(ctx)
		close(done)
	}()
	require.Eventually(t, server.Leaving, 10*time.Second, time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, statusOf(t, o.Ready))
	assert.Equal(t, http.StatusNotFound, statusOf(t, o.Callers))
	cancel()
	<-done
}

func TestAnAddressInUseIsAnError(t *testing.T) {
	o := options()
	o.Ready = o.Callers
	server := gateway.New(o)
	defer server.Close()
	assert.Error(t, server.Start())
}

// TestAnIdleConnectionIsClosed keeps a connection without a request after its first one.
func TestAnIdleConnectionIsClosed(t *testing.T) {
	o := options()
	o.Limits = func() *deployment.Limits { return &deployment.Limits{IdleTimeout: 50 * time.Millisecond} }
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	conn, err := net.Dial("tcp4", o.Callers.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err, "the connection is closed long before its deadline")
	assert.Contains(t, string(answer), "404")
}

func TestRequestsInFlightAreCounted(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	o := options()
	o.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-leave
	})
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	done := make(chan error)
	go func() {
		response, err := http.Get(fmt.Sprintf("http://%s/", o.Callers))
		if err == nil {
			err = response.Body.Close()
		}
		done <- err
	}()
	<-entered
	assert.Equal(t, int64(1), server.InFlight())
	close(leave)
	assert.NoError(t, <-done)
	assert.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}
