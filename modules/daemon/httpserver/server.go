// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
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
	// headerTimeout and maxHeaderBytes bound what a client may hold open before its request is read; not measured.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout trades idle connections for connecting again; not measured.
	idleTimeout = 2 * time.Minute
	// never keeps go-zero from killing the process a few seconds after SIGTERM, while streams still run.
	never = 365 * 24 * time.Hour
)

// Server serves one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
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
	listener := o.Listener
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(serverless.Serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return &Server{http: server, listener: listener}, nil
}

// Serve works until Shutdown or Close; it always gives an error, http.ErrServerClosed after those.
func (s *Server) Serve() error {
	return s.http.Serve(s.listener)
}

// Shutdown takes no new connections and waits for the open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close breaks off all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
