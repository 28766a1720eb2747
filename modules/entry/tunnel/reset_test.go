// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fill writes to a connection until the other end and all buffers between take no more.
func fill(t *testing.T, conn net.Conn) {
	t.Helper()
	const (
		partBytes = 64 << 10
		full      = 50 * time.Millisecond
	)
	for {
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(full)))
		_, err := conn.Write(make([]byte, partBytes))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		require.NoError(t, err)
	}
}

// TestResetDuringRequestIsPassedOn guards against answers without a length that look complete after a reset: the system reports a reset once,
// and the write of the request to the endpoint may get it before the read of the answer, which then returns io.EOF.
func TestResetDuringRequestIsPassedOn(t *testing.T) {
	const rounds = 20
	f := newFixture(t, nil)
	for range rounds {
		caller, endpoint := f.openPair()
		_, err := endpoint.Write([]byte("half of an ans"))
		require.NoError(t, err)
		fill(t, caller)
		require.NoError(t, endpoint.(*net.TCPConn).SetLinger(0))
		require.NoError(t, endpoint.Close())
		_, err = io.ReadAll(caller)
		assert.True(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
	}
}

// TestEndDuringRequestIsPassedOn covers an endpoint that ends its answer before it has read the whole request.
func TestEndDuringRequestIsPassedOn(t *testing.T) {
	caller, endpoint := newFixture(t, nil).openPair()
	_, err := endpoint.Write([]byte("the whole answer"))
	require.NoError(t, err)
	fill(t, caller)
	require.NoError(t, endpoint.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Equal(t, "the whole answer", string(answer))
}
