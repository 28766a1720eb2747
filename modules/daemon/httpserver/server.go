// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/shelfledge/shelfledge/modules/callerconn"
)

// Options are the settings of a Server.
type Options struct {
	Name     string
	Listener net.Listener
	Routes   []rest.Route
	NotFound http.Handler
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// BodyTimeout is how long a handler may read the body of a request; 0 for the default.
	BodyTimeout time.Duration
	// WriteTimeout is how long one write of a response may take; 0 means that the handlers bound it themselves.
	WriteTimeout time.Duration
}

// ErrNotBuilt reports routes or a listener from which no server can be built.
type ErrNotBuilt struct {
	Name   string
	Reason string
}

// Error returns the name of the server and the reason.
func (e ErrNotBuilt) Error() string {
	return fmt.Sprintf("server %s: %s", e.Name, e.Reason)
}

const (
	// headerTimeout and maxHeaderBytes bound the time and memory that a client may take up before its request header is read.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultBodyTimeout is long enough for a body of some MB over a slow link.
	defaultBodyTimeout = 30 * time.Second
	// idleTimeout bounds how long an idle connection is kept: a longer timeout keeps more idle connections, a shorter one makes clients
	// reconnect more often.
	idleTimeout = 2 * time.Minute
	// forceQuitDelay is long enough that go-zero never kills the process. Its default of a few seconds after SIGTERM would cut off running
	// streams.
	forceQuitDelay = 365 * 24 * time.Hour
)

// Server serves one listener.
type Server struct {
	http *http.Server
	// connListener is the listener below the TLS layer, listener the outermost one.
	connListener *callerconn.Listener
	listener     net.Listener
	shuttingDown atomic.Bool
}

// New returns a Server that is started by Serve.
func New(o Options) (*Server, error) {
	proc.SetTimeToForceQuit(forceQuitDelay)
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	var options []rest.RunOption
	if o.NotFound != nil {
		options = append(options, rest.WithNotFoundHandler(o.NotFound))
	}
	// All middlewares stay off. Those for timeouts, load shedding and circuit breaking respond by themselves, and such a response would
	// state an outcome of the request that only package relay can determine. The one that recovers panics is off too: net/http logs the
	// panic of a handler and closes the connection without a response.
	built, err := rest.NewServer(rest.RestConf{ServiceConf: service.ServiceConf{Name: o.Name}}, options...)
	if err != nil {
		return nil, ErrNotBuilt{Name: o.Name, Reason: err.Error()}
	}
	built.AddRoutes(o.Routes, rest.WithTimeout(0))
	serverless, err := rest.NewServerless(built)
	if err != nil {
		return nil, ErrNotBuilt{Name: o.Name, Reason: err.Error()}
	}
	tcp, ok := o.Listener.(*net.TCPListener)
	if !ok {
		return nil, ErrNotBuilt{Name: o.Name, Reason: "the listener is not a TCP listener"}
	}
	s := &Server{connListener: callerconn.NewListener(tcp, callerconn.Options{
		MaxIdleTime: func() time.Duration { return idleTimeout },
		// The daemon has no connection metrics.
		OnClose: func(callerconn.Report) {}, Now: time.Now,
	})}
	s.listener = s.connListener
	if o.TLS != nil {
		s.listener = tls.NewListener(s.listener, o.TLS)
	}
	serve := boundBody(serverless.Serve, o.BodyTimeout, time.Now)
	if o.WriteTimeout > 0 {
		serve = boundWrites(serve, o.WriteTimeout, time.Now)
	}
	s.http = &http.Server{
		Handler: s.closeAfterResponse(serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Package callerconn closes idle connections.
		IdleTimeout: -1, ConnState: s.connListener.StateChanged, ConnContext: callerconn.WithConn,
	}
	return s, nil
}

// closeAfterResponse wraps a handler: during a shutdown, its responses announce with "Connection: close" that they are the last ones.
func (s *Server) closeAfterResponse(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.shuttingDown.Load() {
			writer.Header().Set("Connection", "close")
		}
		serve(writer, request)
	})
}

// Serve serves requests until Shutdown or Close. It always returns an error, which is http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if s.shuttingDown.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and waits for the open requests until ctx ends. A request whose first byte was read is served.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	return errors.Join(s.connListener.BeginShutdown(), s.Wait(ctx))
}

// Wait waits, after Shutdown, until no connection is open. If ctx ends first, Wait returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	return s.connListener.Wait(ctx)
}

// Close closes all connections, also those with open requests.
func (s *Server) Close() error {
	return s.http.Close()
}
