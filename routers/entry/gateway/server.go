// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/callerconn"
)

// Options configure a Server.
type Options struct {
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// Handler serves callers, MetricsHandler serves metrics.
	Handler        http.Handler
	MetricsHandler http.Handler
	// MaxConnections is how many connections of callers may be open; 0 means no limit.
	MaxConnections int
	// IsReady reports whether the instance is ready for requests, for the load balancer's check.
	IsReady func() bool
	// Limits returns the limits in force; nil before a configuration is known.
	Limits func() *deployment.Limits
	// CutOffCause is the cause with which the contexts of the requests that are cut off at the end of a shutdown are cancelled.
	CutOffCause error
	// ObserveConnection is called with the reason for which a caller's connection ended, and the number of requests read from it that ended
	// without a complete response.
	ObserveConnection func(reason string, unanswered int)
	Now               func() time.Time
	Log               *logrus.Entry
}

const (
	// headerTimeout and maxHeaderBytes bound the time and the size of a request's header, whatever the configuration. Higher values accept
	// slower and larger headers, lower ones bound what idle or hostile callers occupy.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
	// internalReadTimeout bounds the time of a request, with its body, to the listeners for readiness and metrics, whose requests need no body.
	// A higher value accepts slower requests, a lower one frees the connections of hostile ones sooner.
	internalReadTimeout = 5 * time.Second
	// internalWriteTimeout bounds the time from the head of a request to these listeners to the last byte of its answer that the system takes.
	// A higher value accepts clients that read more slowly, a lower one frees the connections of those that do not read sooner.
	internalWriteTimeout = 10 * time.Second
	// readinessNoticeTime is how long the load balancer needs to notice that this instance is not ready. A higher value makes it less
	// likely that a caller meets a closed listener, a lower one leaves more of the grace to requests in flight.
	readinessNoticeTime = 2500 * time.Millisecond
	// streamRefusalAfter is how long after the start of a shutdown streams are still accepted. A higher value serves callers that the load
	// balancer still sends, a lower one cuts off fewer streams at the end of the grace.
	streamRefusalAfter = 2700 * time.Millisecond
	// defaultIdleLimit is how long a caller's connection may be idle before a configuration is known, or if the configuration sets no
	// limit. A higher value lets callers reuse connections, a lower one keeps fewer open.
	defaultIdleLimit = 60 * time.Second
	// cutOffTimeout is how long the end of a shutdown waits until the requests that it cut off are answered. A higher value answers more of
	// them, a lower one leaves more of the grace to requests in flight.
	cutOffTimeout = 150 * time.Millisecond
)

// Server listens for callers, for the load balancer and for metrics.
type Server struct {
	options      Options
	callers      *http.Server
	listener     *callerconn.Listener
	internalHTTP []*http.Server
	stopping     atomic.Int64
	inFlight     atomic.Int64
	// baseContext is the context of all requests; cutOff cancels it.
	baseContext context.Context
	cutOff      context.CancelCauseFunc
}

// New returns a server; Start starts it.
func New(options Options) *Server {
	s := &Server{options: options}
	s.baseContext, s.cutOff = context.WithCancelCause(context.Background())
	s.callers = &http.Server{
		Handler: s.countRequests(options.Handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Package callerconn bounds idle connections.
		IdleTimeout: -1, ConnState: s.stateChanged, ConnContext: callerconn.WithConn, DisableGeneralOptionsHandler: true,
		BaseContext: func(net.Listener) context.Context { return s.baseContext },
		ErrorLog:    log.New(errorLog{options.Log}, "", 0),
	}
	return s
}

// countRequests counts requests in flight, so that a shutdown can wait for them, and on each connection the requests that were read and
// those that were answered completely.
func (s *Server) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		conn := callerconn.FromContext(request.Context())
		conn.BeginRequest()
		handler.ServeHTTP(writer, request)
		if request.Context().Err() == nil {
			conn.EndRequest()
		}
	})
}

// stateChanged is the ConnState hook of net/http.
func (s *Server) stateChanged(conn net.Conn, state http.ConnState) {
	s.listener.StateChanged(conn, state)
}

// idleLimit returns how long a caller's connection may be idle by the configuration in force.
func (s *Server) idleLimit() time.Duration {
	if limits := s.options.Limits(); limits != nil && limits.IdleTimeout > 0 {
		return limits.IdleTimeout
	}
	return defaultIdleLimit
}

// errorLog forwards net/http's own log lines to the program's log.
type errorLog struct{ log *logrus.Entry }

// Write implements io.Writer.
func (l errorLog) Write(line []byte) (int, error) {
	l.log.WithField("error", strings.TrimSpace(string(line))).Warn("a caller's connection failed")
	return len(line), nil
}

// connectionEnded counts why a caller's connection ended, and logs a connection that this instance closed while a request that it had read
// was unanswered.
func (s *Server) connectionEnded(report callerconn.Report) {
	s.options.ObserveConnection(string(report.Reason), report.Unanswered)
	if report.Unanswered == 0 || !isOwnClose(report.Reason) {
		return
	}
	s.options.Log.WithFields(logrus.Fields{
		"reason": report.Reason, "caller": report.Caller.String(), "requests": report.Requests, "unanswered": report.Unanswered,
	}).Error("a caller's connection was closed before all its requests were answered")
}

// isOwnClose reports whether this instance ended a connection that seemed to be idle.
func isOwnClose(reason callerconn.Reason) bool {
	return reason == callerconn.ReasonIdleTimeout || reason == callerconn.ReasonShutdown || reason == callerconn.ReasonConnectionLimit
}

// Start starts to listen on all addresses.
func (s *Server) Start() error {
	callers, err := net.Listen("tcp4", s.options.Callers.String())
	if err != nil {
		return err
	}
	// net.Listen returns a TCPListener for the network tcp4.
	s.listener = callerconn.NewListener(callers.(*net.TCPListener), callerconn.Options{
		MaxIdleTime: s.idleLimit, MaxOpen: s.options.MaxConnections, OnClose: s.connectionEnded, Now: s.options.Now,
	})
	go s.serve(s.callers, s.listener)
	ready := newInternalServer(http.HandlerFunc(s.serveReadiness))
	if err := s.listen(ready, s.options.Ready); err != nil {
		return err
	}
	s.internalHTTP = append(s.internalHTTP, ready)
	if !s.options.Metrics.IsValid() || s.options.MetricsHandler == nil {
		return nil
	}
	metrics := newInternalServer(s.options.MetricsHandler)
	s.internalHTTP = append(s.internalHTTP, metrics)
	return s.listen(metrics, s.options.Metrics)
}

// newInternalServer returns a server of a listener that callers do not use. Its idle connections stay open, so that no check meets one that is
// being closed.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: internalReadTimeout, WriteTimeout: internalWriteTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: -1,
	}
}

func (s *Server) listen(server *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	go s.serve(server, listener)
	return nil
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !s.Leaving() {
		s.options.Log.WithError(err).WithField("address", listener.Addr().String()).Error("listener ended")
	}
}

func (s *Server) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if s.Leaving() || !s.options.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Leaving reports whether a shutdown has started.
func (s *Server) Leaving() bool {
	return s.stopping.Load() != 0
}

// ClosesConnections reports whether each connection closes after its response: during a shutdown, and while too many are open.
func (s *Server) ClosesConnections() bool {
	return s.Leaving() || s.listener.Crowded()
}

// ShouldRefuse reports whether a new request of a kind is refused because it could not be answered completely before the process ends.
func (s *Server) ShouldRefuse(kind deployment.RouteKind) bool {
	began := s.stopping.Load()
	if began == 0 || kind != deployment.Streaming {
		return false
	}
	return s.options.Now().Sub(time.Unix(0, began)) > streamRefusalAfter
}

// Stop reports the instance as not ready and serves requests until the load balancer has noticed. It then waits for the requests in flight
// until the context ends. Requests still in flight after that are answered with an error, unless part of their answer was already sent.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(s.options.Now().UnixNano())
	select {
	case <-time.After(readinessNoticeTime):
	case <-ctx.Done():
	}
	if s.listener != nil {
		s.stopCallers(ctx)
	}
	s.closeInternal()
}

// stopCallers closes the listener for callers and waits for their connections.
func (s *Server) stopCallers(ctx context.Context) {
	if err := s.listener.BeginShutdown(); err != nil {
		// The process is about to end, which closes the listener in any case.
		s.options.Log.WithError(err).Debug("the listener cannot be closed")
	}
	if s.listener.Wait(ctx) == nil {
		return
	}
	s.options.Log.WithField("in_flight", s.InFlight()).Warn("the grace ends: requests are cut off")
	s.cutOff(s.options.CutOffCause)
	cut, cancel := context.WithTimeout(context.Background(), cutOffTimeout)
	defer cancel()
	if err := s.listener.Wait(cut); err != nil {
		s.options.Log.WithField("in_flight", s.InFlight()).Warn("the process ends while requests are still in flight")
	}
}

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	// An error has no consequence, since the process ends.
	_ = s.callers.Close()
	s.closeInternal()
}

// closeInternal closes the listeners for the load balancer and for metrics, ignoring errors as Close does.
func (s *Server) closeInternal() {
	for _, internal := range s.internalHTTP {
		_ = internal.Close()
	}
}

// ConnectionCount returns the number of open connections of callers.
func (s *Server) ConnectionCount() int {
	if s.listener == nil {
		return 0
	}
	return s.listener.OpenCount()
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}
