// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxTunnels bounds the tunnels of an acceptor, each of which takes two connections and about 30 KiB. A higher value serves more requests
	// of other instances, a lower one takes less memory.
	maxTunnels = 512
	// dialTimeout bounds the connection set-up to an endpoint. It is shorter than the time for which the other instance waits, so that it
	// gets the result. A higher value tolerates a lossy link, a lower one lets it try another instance sooner.
	dialTimeout = 350 * time.Millisecond
	// headTimeout bounds the wait for a CONNECT request, also for the body of one that has any, and the writing of a refusal. An open tunnel
	// has no such bound. A higher value tolerates a slow link, a lower one frees idle connections sooner.
	headTimeout = 2 * time.Second
	// drainPollInterval is how often Drain looks whether the tunnels have ended.
	drainPollInterval = 20 * time.Millisecond
)

// Options configure an Acceptor.
type Options struct {
	// Allowed reports whether a tunnel may lead to a target: to an endpoint that this instance knows and that takes requests.
	Allowed func(target Target) bool
	// Dial opens a connection to an endpoint over this instance's own links.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// CutOff reports whether this instance currently reaches no endpoint itself.
	CutOff func() bool
	Log    *logrus.Entry
}

// Acceptor opens tunnels for other instances.
type Acceptor struct {
	options Options
	http    *http.Server
	open    atomic.Int64
	opened  atomic.Uint64

	mutex sync.Mutex
	// tunnels are the open ones; closed means that no new one may be opened.
	tunnels map[*splice]bool
	closed  bool
}

// NewAcceptor returns an acceptor; Serve starts it.
func NewAcceptor(options Options) *Acceptor {
	a := &Acceptor{options: options, tunnels: make(map[*splice]bool)}
	a.http = &http.Server{Handler: http.HandlerFunc(a.serveConnect), ReadTimeout: headTimeout, WriteTimeout: headTimeout}
	return a
}

// Serve accepts connections until the listener is closed by Drain or Close.
func (a *Acceptor) Serve(listener net.Listener) {
	if err := a.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		a.options.Log.WithError(err).WithField("address", listener.Addr().String()).Error("listener ended")
	}
}

// Opened returns the number of tunnels that were opened so far.
func (a *Acceptor) Opened() uint64 {
	return a.opened.Load()
}

// serveConnect opens one tunnel.
func (a *Acceptor) serveConnect(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodConnect {
		writer.WriteHeader(statusNoTunnel)
		return
	}
	address, err := netip.ParseAddrPort(request.Host)
	if err != nil {
		writer.WriteHeader(statusBadTarget)
		return
	}
	target := Target{Endpoint: request.Header.Get(headerEndpoint), Address: address}
	if a.options.CutOff() || a.open.Load() >= maxTunnels {
		writer.WriteHeader(statusUnavailable)
		return
	}
	if !a.options.Allowed(target) {
		writer.WriteHeader(statusUnknown)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), dialTimeout)
	defer cancel()
	endpoint, err := a.options.Dial(ctx, address)
	if err != nil {
		writer.WriteHeader(statusOf(err))
		return
	}
	a.connect(writer, endpoint)
}

// statusOf returns the status for a failed connection to an endpoint.
func statusOf(err error) int {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return statusRefused
	}
	return statusNotReached
}

// openedAnswer is the answer to a CONNECT request whose tunnel is open. It is written without net/http, which would announce a body.
const openedAnswer = "HTTP/1.1 200 OK\r\n\r\n"

// connect answers a CONNECT request and copies bytes between its connection and the endpoint. The tunnel counts as open before net/http gives
// up the connection, so that Drain waits for it at any moment.
func (a *Acceptor) connect(writer http.ResponseWriter, endpoint net.Conn) {
	a.open.Add(1)
	tunnel := a.answer(writer, endpoint)
	if tunnel == nil || !a.start(tunnel) {
		a.open.Add(-1)
	}
}

// answer answers a CONNECT request and returns its tunnel, or nil if none was opened.
func (a *Acceptor) answer(writer http.ResponseWriter, endpoint net.Conn) *splice {
	caller, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		a.options.Log.WithError(err).Error("a tunnel cannot be opened")
		closeIgnoringError(endpoint)
		return nil
	}
	tunnel := newSplice(caller, endpoint)
	if buffered.Reader.Buffered() > 0 {
		// The other instance sends its first request only after the answer.
		tunnel.reset()
		return nil
	}
	if _, err := caller.Write([]byte(openedAnswer)); err != nil {
		tunnel.reset()
		return nil
	}
	return tunnel
}

// start starts a tunnel and returns true, unless the acceptor is closed.
func (a *Acceptor) start(tunnel *splice) bool {
	a.mutex.Lock()
	closed := a.closed
	if !closed {
		a.tunnels[tunnel] = true
	}
	a.mutex.Unlock()
	if closed {
		tunnel.reset()
		return false
	}
	a.opened.Add(1)
	tunnel.run(func() {
		a.open.Add(-1)
		a.mutex.Lock()
		defer a.mutex.Unlock()
		delete(a.tunnels, tunnel)
	})
	return true
}

// Drain accepts no more tunnels and waits until the open ones have ended or the context ends. A stop must not cut off the requests of
// other instances.
func (a *Acceptor) Drain(ctx context.Context) {
	if err := a.http.Shutdown(ctx); err != nil {
		a.options.Log.WithError(err).Debug("a tunnel was still being opened at the end of the process")
	}
	for a.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// Close closes the listener and resets all tunnels.
func (a *Acceptor) Close() {
	closeIgnoringError(a.http)
	a.mutex.Lock()
	a.closed = true
	tunnels := make([]*splice, 0, len(a.tunnels))
	for tunnel := range a.tunnels {
		tunnels = append(tunnels, tunnel)
	}
	a.mutex.Unlock()
	for _, tunnel := range tunnels {
		tunnel.reset()
	}
}
