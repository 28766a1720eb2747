// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/httpserver"
)

const (
	writeTimeout = time.Second
	// unreadBytes is more than the system holds for a client that does not read.
	unreadBytes = 64 << 20
)

func dialAndRequest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	request(t, conn)
	return conn
}

func request(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	require.NoError(t, err)
}

// TestUnreadResponseIsGivenUp guards against a client that keeps its connection and the goroutine of its request by reading nothing.
func TestUnreadResponseIsGivenUp(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	server := startServer(t, httpserver.Options{WriteTimeout: writeTimeout, Routes: testRoute(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, unreadBytes))
		ended <- err
	})})
	dialAndRequest(t, server.address)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the response is still being written")
	}
}

// TestSlowHandlerAndIdleConnectionAreNotCutOff guards against a bound of a write that counts the time between writes.
func TestSlowHandlerAndIdleConnectionAreNotCutOff(t *testing.T) {
	t.Parallel()
	const pause = writeTimeout + writeTimeout/2
	server := startServer(t, httpserver.Options{WriteTimeout: writeTimeout, Routes: testRoute(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(pause)
		_, err := w.Write([]byte("whole"))
		assert.NoError(t, err)
	})})
	conn := dialAndRequest(t, server.address)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Equal(t, "whole", string(content))
		require.NoError(t, response.Body.Close())
		time.Sleep(pause)
		request(t, conn)
	}
}
