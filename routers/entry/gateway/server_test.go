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

// lastPort is the last port used by a test of this process.
var lastPort atomic.Uint32

// freeAddress returns an unused address of this host: the loopback address is specific to this process, and the port is below the ephemeral
// ports.
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

// endedContext returns a cancelled context, so that Stop does not wait.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestStreamsAreRefusedLateInShutdown(t *testing.T) {
	for name, test := range map[string]struct {
		kind    deployment.RouteKind
		after   time.Duration
		refuses bool
	}{
		"a stream at the start of shutdown":      {deployment.Streaming, 0, false},
		"a stream at the limit":                  {deployment.Streaming, 2700 * time.Millisecond, false},
		"a stream just after the limit":          {deployment.Streaming, 2700*time.Millisecond + 1, true},
		"a safe request just after the limit":    {deployment.Safe, 2700*time.Millisecond + 1, false},
		"an unsafe request long after the limit": {deployment.Unsafe, time.Minute, false},
		"a stream, the clock set back":           {deployment.Streaming, -time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			o := options()
			o.Now = func() time.Time { return now }
			server := gateway.New(o)
			server.Stop(endedContext())
			now = start.Add(test.after)
			assert.Equal(t, test.refuses, server.ShouldRefuse(test.kind))
		})
	}
}

func TestNothingIsRefusedBeforeStop(t *testing.T) {
	server := gateway.New(options())
	assert.False(t, server.Leaving())
	assert.False(t, server.ShouldRefuse(deployment.Streaming))
	server.Stop(endedContext())
	assert.True(t, server.Leaving())
}

func getStatus(t *testing.T, address netip.AddrPort) int {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/", address))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestReadinessCheck(t *testing.T) {
	var ready atomic.Bool
	o := options()
	o.IsReady = ready.Load
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	assert.Equal(t, http.StatusServiceUnavailable, getStatus(t, o.Ready))
	ready.Store(true)
	assert.Equal(t, http.StatusOK, getStatus(t, o.Ready))
}

// TestStoppingInstanceIsNotReady: requests are still served while the load balancer has time to notice.
func TestStoppingInstanceIsNotReady(t *testing.T) {
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
	assert.Equal(t, http.StatusServiceUnavailable, getStatus(t, o.Ready))
	assert.Equal(t, http.StatusNotFound, getStatus(t, o.Callers))
	cancel()
	<-done
}

func TestStartFailsOnAddressInUse(t *testing.T) {
	o := options()
	o.Ready = o.Callers
	server := gateway.New(o)
	defer server.Close()
	assert.Error(t, server.Start())
}

// TestIdleConnectionIsClosed keeps a connection open without a second request.
func TestIdleConnectionIsClosed(t *testing.T) {
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
	entered, unblock := make(chan struct{}), make(chan struct{})
	o := options()
	o.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-unblock
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
	close(unblock)
	assert.NoError(t, <-done)
	assert.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}
