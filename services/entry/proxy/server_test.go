// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/callerconn"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
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

// testDialect has a header for each item that endpoints report.
func testDialect() proxy.Dialect {
	return proxy.Dialect{
		ReadRequest: func(header http.Header) proxy.CallerHeader {
			return proxy.CallerHeader{ID: header.Get("Id"), LastEvent: header.Get("Last"), BegunAs: header.Get("Begun-As")}
		},
		WriteForward: func(header http.Header, forward proxy.ForwardHeader) {
			header.Set("Resume", forward.ResumeAfter)
		},
		AnswersRequest: func(string, http.Header) bool { return true },
		NotRun:         func(_ deployment.EndpointID, _ int, header http.Header) bool { return header.Get("Not-Run") != "" },
		FromEndpoint:   func(header http.Header) bool { return header.Get("Mark") != "" },
		ReadNotice:     func(int, http.Header) (deployment.Notice, error) { return deployment.Notice{}, nil },
	}
}
