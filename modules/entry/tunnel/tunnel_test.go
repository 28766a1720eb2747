// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
)

// testTimeout bounds waits that end soon unless there is a fault.
const testTimeout = 10 * time.Second

// fixture is a tunnel acceptor and an endpoint whose connections the test handles.
type fixture struct {
	t        *testing.T
	acceptor *tunnel.Acceptor
	address  string
	endpoint net.Listener
	options  tunnel.Options
}

// newFixture starts an endpoint and a tunnel acceptor; change may change the acceptor's options.
func newFixture(t *testing.T, change func(*tunnel.Options)) *fixture {
	t.Helper()
	endpoint, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	f := &fixture{t: t, endpoint: endpoint, options: tunnel.Options{
		Allowed: func(tunnel.Target) bool { return true },
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp4", address.String())
		},
		CutOff: func() bool { return false }, Log: logrus.NewEntry(logrus.New()),
	}}
	if change != nil {
		change(&f.options)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	f.acceptor, f.address = tunnel.NewAcceptor(f.options), listener.Addr().String()
	go f.acceptor.Serve(listener)
	t.Cleanup(f.acceptor.Close)
	return f
}

// target returns the endpoint as the target of a tunnel.
func (f *fixture) target() tunnel.Target {
	return tunnel.Target{Endpoint: "i-1", Address: f.endpoint.Addr().(*net.TCPAddr).AddrPort()}
}

// open connects to the acceptor and opens a tunnel to the endpoint.
func (f *fixture) open() (net.Conn, error) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return conn, tunnel.Open(ctx, conn, f.target())
}

// openPair opens a tunnel and returns both of its ends.
func (f *fixture) openPair() (caller, endpoint net.Conn) {
	f.t.Helper()
	caller, err := f.open()
	require.NoError(f.t, err)
	endpoint, err = f.endpoint.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = endpoint.Close() })
	require.NoError(f.t, endpoint.SetDeadline(time.Now().Add(testTimeout)))
	return caller, endpoint
}

func TestBytesAreCopiedInBothDirections(t *testing.T) {
	caller, endpoint := newFixture(t, nil).openPair()
	for _, pair := range [][2]net.Conn{{caller, endpoint}, {endpoint, caller}} {
		_, err := pair[0].Write([]byte("some bytes\n"))
		require.NoError(t, err)
		line, err := bufio.NewReader(pair[1]).ReadString('\n')
		require.NoError(t, err)
		assert.Equal(t, "some bytes\n", line)
	}
}

// TestEndOfAnswerIsPassedOn guards against an answer without a length whose end, a closed connection, is lost.
func TestEndOfAnswerIsPassedOn(t *testing.T) {
	caller, endpoint := newFixture(t, nil).openPair()
	_, err := endpoint.Write([]byte("the whole answer"))
	require.NoError(t, err)
	require.NoError(t, endpoint.Close())
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Equal(t, "the whole answer", string(answer))
}

// TestResetIsPassedOn guards against an answer without a length that was cut off and looks complete.
func TestResetIsPassedOn(t *testing.T) {
	for name, end := range map[string]func(f *fixture, endpoint net.Conn){
		"endpoint resets": func(_ *fixture, endpoint net.Conn) {
			require.NoError(t, endpoint.(*net.TCPConn).SetLinger(0))
			require.NoError(t, endpoint.Close())
		},
		"acceptor closes": func(f *fixture, _ net.Conn) { f.acceptor.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			caller, endpoint := f.openPair()
			_, err := endpoint.Write([]byte("half of an ans"))
			require.NoError(t, err)
			_, err = io.ReadFull(caller, make([]byte, len("half of an ans")))
			require.NoError(t, err)
			end(f, endpoint)
			_, err = caller.Read(make([]byte, 1))
			assert.True(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
		})
	}
}

// TestResetByCallerReachesEndpoint guards against endpoints that go on working for callers that have left.
func TestResetByCallerReachesEndpoint(t *testing.T) {
	caller, endpoint := newFixture(t, nil).openPair()
	require.NoError(t, caller.(*net.TCPConn).SetLinger(0))
	require.NoError(t, caller.Close())
	_, err := endpoint.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
}

func TestRefusalsAreDistinguished(t *testing.T) {
	t.Run("endpoint refuses", func(t *testing.T) {
		f := newFixture(t, nil)
		require.NoError(t, f.endpoint.Close())
		_, err := f.open()
		require.ErrorIs(t, err, tunnel.ErrRefused)
		assert.True(t, tunnel.IsVerdict(err))
	})
	t.Run("endpoint does not answer", func(t *testing.T) {
		f := newFixture(t, func(options *tunnel.Options) {
			options.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		})
		_, err := f.open()
		require.ErrorIs(t, err, tunnel.ErrNotReached)
		assert.True(t, tunnel.IsVerdict(err))
	})
	for name, change := range map[string]func(*tunnel.Options){
		"endpoint is not known":       func(options *tunnel.Options) { options.Allowed = func(tunnel.Target) bool { return false } },
		"instance is cut off as well": func(options *tunnel.Options) { options.CutOff = func() bool { return true } },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newFixture(t, change).open()
			var unavailable *tunnel.UnavailableError
			require.ErrorAs(t, err, &unavailable)
			assert.False(t, tunnel.IsVerdict(err), "it shows nothing about the endpoint")
		})
	}
}

// TestDrainWaitsForOpenTunnels guards against a planned stop that cuts off the requests of other instances.
func TestDrainWaitsForOpenTunnels(t *testing.T) {
	f := newFixture(t, nil)
	caller, endpoint := f.openPair()
	drained := make(chan struct{})
	go func() {
		f.acceptor.Drain(context.Background())
		close(drained)
	}()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", f.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond, "no new tunnels are accepted")
	_, err := endpoint.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(caller, make([]byte, 1))
	require.NoError(t, err, "the open tunnel still works")
	select {
	case <-drained:
		assert.Fail(t, "drained with an open tunnel")
	default:
	}
	require.NoError(t, caller.Close())
	require.NoError(t, endpoint.Close())
	select {
	case <-drained:
	case <-time.After(testTimeout):
		assert.Fail(t, "not drained after the last tunnel")
	}
}
