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

// Options are what a server works with.
type Options struct {
	Name     string
	Listener net.Listener
	Routes   []rest.Route
	NotFound http.Handler
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

// ErrNotBuilt reports routes that cannot be served.
type ErrNotBuilt struct {
	Name   string
	Reason string
}

// Error names the server.
func (e ErrNotBuilt) Error() string {
	return fmt.Sprintf("server %s: %s", e.Name, e.Reason)
}

const (
	// headerTimeout and maxHeaderBytes bound what a client may hold open before its request is read.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout trades idle connections for connecting again.
	idleTimeout = 2 * time.Minute
	// never keeps go-zero from killing the process a few seconds after SIGTERM, while streams still run.
	never = 365 * 24 * time.Hour
)

// Server serves one listener.
type Server struct {
	http *http.Server
	// callers is the listener under a TLS layer, listener the outermost one.
	callers  *callerconn.Listener
	listener net.Listener
	leaving  atomic.Bool
}

// New builds a server; Serve makes it work.
func New(o Options) (*Server, error) {
	proc.SetTimeToForceQuit(never)
	var options []rest.RunOption
	if o.NotFound != nil {
		options = append(options, rest.WithNotFoundHandler(o.NotFound))
	}
	// All middlewares stay off: they time out, shed or break on their own account, and an answer of theirs would claim
	// what only the relay knows. The one against panics is off too: net/http logs a handler's panic and breaks the
	// connection off, without an answer.
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
		return nil, ErrNotBuilt{Name: o.Name, Reason: "its listener is not one for TCP"}
	}
	s := &Server{callers: callerconn.NewListener(tcp, callerconn.Options{
		IdleTimeout: func() time.Duration { return idleTimeout },
		// The daemon keeps no figures of connections.
		OnClose: func(callerconn.Report) {}, Now: time.Now,
	})}
	s.listener = s.callers
	if o.TLS != nil {
		s.listener = tls.NewListener(s.listener, o.TLS)
	}
	s.http = &http.Server{
		Handler: s.lastAnswers(serverless.Serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Package callerconn bounds rests.
		IdleTimeout: -1, ConnState: s.callers.StateChanged, ConnContext: callerconn.ConnContext,
	}
	return s, nil
}

// lastAnswers has answers say, while the server is shut down, that they are the last ones of their connections.
func (s *Server) lastAnswers(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}
		serve(writer, request)
	})
}

// Serve works until Shutdown or Close; it always gives an error, http.ErrServerClosed after those.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if s.leaving.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown takes no new connections and waits for the open requests until ctx ends. A request whose first byte was read is served.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	return errors.Join(s.callers.Shutdown(), s.Wait(ctx))
}

// Wait waits, after Shutdown, until no connection is open or ctx ends, whose error it gives.
func (s *Server) Wait(ctx context.Context) error {
	return s.callers.Wait(ctx)
}

// Close breaks off all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
