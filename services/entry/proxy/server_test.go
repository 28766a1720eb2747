// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/modules/callerconn"
)

// startServer serves callers over connections of package callerconn, as the program does.
func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	listener := callerconn.NewListener(server.Listener.(*net.TCPListener), callerconn.Options{
		MaxIdleTime: func() time.Duration { return time.Minute }, OnClose: func(callerconn.Report) {}, Now: time.Now,
	})
	server.Listener = listener
	server.Config.ConnContext, server.Config.ConnState = callerconn.WithConn, listener.StateChanged
	server.Start()
	t.Cleanup(server.Close)
	return server
}
