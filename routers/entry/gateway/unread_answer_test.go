// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/routers/entry/gateway"
)

const (
	// unreadBytes is more than the system holds for a client that does not read.
	unreadBytes = 64 << 20
	// maxUnread is how long the test waits for the end of an answer that is not read: twice as long as it may take.
	maxUnread = 20 * time.Second
)

// TestUnreadFiguresAreGivenUp guards against a client that keeps a connection of the listener for metrics and its goroutine by reading nothing.
func TestUnreadFiguresAreGivenUp(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	o := options()
	o.Metrics = freeAddress()
	o.MetricsHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, err := writer.Write(make([]byte, unreadBytes))
		ended <- err
	})
	server := gateway.New(o)
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", o.Metrics.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(maxUnread):
		require.Fail(t, "the answer is still being written")
	}
}
