// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/clock"
	"github.com/shelfledge/shelfledge/modules/daemon/certificate"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/httpserver"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/modules/refusal"
	"github.com/shelfledge/shelfledge/routers/daemon/caller"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/services/daemon/access"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/query"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// listeners holds the open listeners for callers, operators and peers.
type listeners struct {
	callers, operators, peers net.Listener
}

func (l listeners) close() {
	for _, x := range []net.Listener{l.callers, l.operators, l.peers} {
		if x != nil {
			// The start has already failed and returns that error, so an error of Close adds nothing.
			_ = x.Close()
		}
	}
}

// listen opens the listeners and stores their actual addresses. If one cannot be opened, listen closes the others.
func (d *Daemon) listen() (listeners, error) {
	var l listeners
	for _, x := range []struct {
		name          string
		address       netip.AddrPort
		listener      *net.Listener
		actualAddress *netip.AddrPort
	}{
		{"callers' listener", d.settings.Listen.Callers.Address, &l.callers, &d.addresses.Callers},
		{"operators' listener", d.settings.Listen.Operators.Address, &l.operators, &d.addresses.Operators},
		{"peers' listener", d.settings.Listen.Peers.Address, &l.peers, &d.addresses.Peers},
	} {
		opened, err := net.Listen("tcp", x.address.String())
		if err != nil {
			l.close()
			return l, ErrNotStarted{Part: x.name, Reason: err.Error()}
		}
		*x.listener = opened
		*x.actualAddress = opened.Addr().(*net.TCPAddr).AddrPort()
	}
	d.self = fleet.Instance{ID: d.settings.Instance.ID, Hall: d.settings.Instance.Hall, Address: d.addresses.Peers, Operator: d.addresses.Operators}
	return l, nil
}

// newClock returns the clock that all decisions are based on. Only certificates are checked against the time of day. The
// clock logs a warning when it detects that the host was suspended.
func newClock(log *logrus.Entry) (*clock.Clock, error) {
	sources := clock.System()
	sources.OnSuspension = func(span time.Duration) {
		log.WithField("suspended_ms", span.Milliseconds()).Warn("the host was suspended")
	}
	c, err := clock.New(sources)
	if err != nil {
		return nil, ErrNotStarted{Part: "clock", Reason: err.Error()}
	}
	return c, nil
}

// build creates all parts of the daemon without starting the control goroutine or the servers.
func (d *Daemon) build(ctx context.Context, o Options, l listeners) error {
	var err error
	if d.clock, err = newClock(d.log); err != nil {
		return err
	}
	dialect := engine.NewVLLM(engine.VLLMOptions{
		Transport: engine.NewTransport(engine.TransportOptions{
			DialTimeout: dialTimeout, HeaderTimeout: d.settings.Limits.EndpointSilent.Duration(), IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdlePerHost,
		}),
		Timeout: statusTimeout, LoadTimeout: d.settings.Decision.LoadTimeout.Duration() - loadMargin,
	})
	if err := d.buildControl(o, l, dialect); err != nil {
		return err
	}
	d.buildRelay(ctx, dialect)
	if err := d.buildCallers(l); err != nil {
		return err
	}
	return d.buildOperators(l)
}

// buildControl creates the control service, the query service and the links to peers.
func (d *Daemon) buildControl(o Options, l listeners, dialect engine.Dialect) error {
	links := peerlink.Options{
		Receive: func(e fleet.Envelope) { d.control.Receive(e) },
		Answer:  func(ctx context.Context, q peerlink.Question) (peerlink.Answer, error) { return d.query.Answer(ctx, q) },
		Blocked: o.Blocked, Refused: d.logRefusedPeer, Ended: d.logEndedPeer,
	}
	if t := d.settings.Listen.Peers.TLS; t.Enabled() {
		r, err := newCertificateReloader(t)
		if err != nil {
			return err
		}
		links.ServerCredentials = credentials.NewTLS(r.ServerConfig())
		links.ClientCredentials = credentials.NewTLS(r.ClientConfig())
	}
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeadBytes}}
	list := instancelist.Reader{Address: d.settings.Platform.List, Timeout: d.settings.Platform.Timeout.Duration(), Client: client}
	readList := list.Read
	if !d.settings.Platform.List.IsValid() {
		readList = nil
	}
	d.control = control.New(control.Options{
		Node: nodeOptions(d.settings, d.self, uint64(time.Now().UnixMilli())), Seeds: d.settings.SeedInstances(), Dialect: dialect, KV: d.kv,
		Prefix: d.settings.KV.Prefix, List: readList, ListInterval: d.settings.Platform.Every.Duration(), Send: func(e fleet.Envelope) { d.links.Send(e) },
		Log: d.log, Metrics: d.metrics, Journal: d.journal, Now: d.clock.Now,
	})
	d.query = query.New(query.Options{
		Self: d.self, Classes: d.settings.FleetClasses(), Catalog: d.control.Catalog, View: d.control.View,
		AskPeer: func(ctx context.Context, to netip.AddrPort, q peerlink.Question) (peerlink.Answer, error) {
			return d.links.Ask(ctx, to, q)
		},
		Journal: d.journal, Timeout: queryTimeout, Now: d.clock.Now,
	})
	d.links = peerlink.New(l.peers, links)
	return nil
}

// logRefusedPeer logs that a connection of a peer was refused.
func (d *Daemon) logRefusedPeer(from netip.Addr, refused int) {
	d.log.WithFields(logrus.Fields{"from": from, "refused": refused}).Warn("a connection of a peer was refused, since too many are open")
}

// logEndedPeer logs that a connection of a peer was closed.
func (d *Daemon) logEndedPeer(from net.Addr, bytes int64) {
	d.log.WithFields(logrus.Fields{"from": from, "bytes": bytes}).Warn("a connection of a peer was closed, since too much is being received from peers")
}

func newCertificateReloader(t setting.TLS) (*certificate.Reloader, error) {
	r, err := certificate.New(certificate.Files{Cert: t.Cert, Key: t.Key, CA: t.ClientCA}, time.Now)
	if err != nil {
		return nil, ErrNotStarted{Part: "certificate", Reason: err.Error()}
	}
	return r, nil
}

// serverTLS returns the TLS configuration of a server, or nil if TLS is disabled.
func serverTLS(t setting.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	r, err := newCertificateReloader(t)
	if err != nil {
		return nil, err
	}
	return r.ServerConfig(), nil
}

// refusesConnections reports whether an address refuses connections, which means that no process listens there any more.
func refusesConnections(ctx context.Context, address netip.AddrPort) bool {
	var dialer net.Dialer
	open := func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address.String()) }
	// The connections serve only as a probe, so an error of Close is irrelevant.
	discard := func(conn net.Conn) { _ = conn.Close() }
	openConn, refused := refusal.Probe(ctx, open, discard)
	if openConn != nil {
		discard(openConn)
	}
	return refused
}

// buildRelay creates and starts the claimer and creates the relay.
func (d *Daemon) buildRelay(ctx context.Context, dialect engine.Dialect) {
	s := d.settings
	owner := fmt.Sprintf("%s.%d", d.self.ID, time.Now().UnixNano())
	options := once.DefaultOptions(s.KV.Prefix, owner)
	options.TTL = s.KV.ClaimTTL.Duration()
	d.claimer = once.New(once.Store{Txn: d.kv.Txn, Get: d.kv.Get, Grant: d.kv.Grant}, options, d.clock.Now)
	go d.claimer.Run(ctx)
	d.relay = relay.New(relay.Options{
		Control: relay.Control{Submit: d.control.Submit, Withdraw: d.control.Withdraw, ReturnTicket: d.control.ReturnTicket, RecordEvent: d.control.RecordEvent},
		Claims:  relay.Claims{Claim: d.claimer.Claim, Release: d.claimer.Release},
		Dialect: dialect, Endpoints: s.FleetEndpoints(), Metrics: d.metrics, MaxAttempts: s.Limits.MaxAttempts, RetryShare: s.Limits.RetryShare,
		SlowReader: s.Limits.SlowReader.Duration(), EndpointSilent: s.Limits.EndpointSilent.Duration(), CancelLife: cancelRetryPeriod, Now: d.clock.Now,
		Timer: d.clock.TimerTime, RefusesConnections: refusesConnections,
	})
}

func (d *Daemon) buildCallers(l listeners) error {
	s := d.settings
	router := caller.New(caller.Options{
		Relay: d.relay, Catalog: d.control.Catalog, Configured: d.control.Configured, Ready: d.Ready, Alive: func() bool { return true }, Classes: s.FleetClasses(),
		Endpoints: s.FleetEndpoints(), Now: d.clock.Now, MaxBodyBytes: s.Limits.MaxBodyBytes, MaxRequests: int64(s.Limits.MaxRequests),
		BytesPerToken: s.Limits.BytesPerToken, OutputTokens: s.Limits.OutputTokens, DefaultWait: s.Limits.DefaultWait.Duration(),
	})
	tlsConfig, err := serverTLS(s.Listen.Callers.TLS)
	if err != nil {
		return err
	}
	d.callers, err = httpserver.New(httpserver.Options{
		Name: "callers", Listener: l.callers, Routes: router.Routes(), NotFound: router.NotFound(), TLS: tlsConfig,
	})
	return err
}

func (d *Daemon) buildOperators(l listeners) error {
	s := d.settings
	var keys []access.Key
	for _, k := range s.Operators.Keys {
		keys = append(keys, access.Key{Operator: access.Operator{Name: k.Name, Role: access.ParseRole(k.Role)}, SHA256: k.SHA256})
	}
	checker, err := access.New(keys, s.Operators.FailuresPerMinute)
	if err != nil {
		return err
	}
	store := configuration.NewStore(d.kv, s.KV.Prefix, time.Now)
	router := operator.New(operator.Options{
		Access: checker, Metrics: d.metrics, Refresh: d.refreshGauges, Ready: d.Ready, Now: d.clock.Now, Query: d.query,
		Command: command.New(command.Options{Store: store, Current: d.control.Catalog, ApplyRecords: d.control.ApplyRecords, HallStates: d.hallStates, Now: d.clock.Now}),
	})
	tlsConfig, err := serverTLS(s.Listen.Operators.TLS)
	if err != nil {
		return err
	}
	d.operators, err = httpserver.New(httpserver.Options{
		Name: "operators", Listener: l.operators, Routes: router.Routes(), TLS: tlsConfig, WriteTimeout: operatorWriteTimeout,
	})
	return err
}

// hallStates returns the configuration revision in force in each hall, as known to this instance.
func (d *Daemon) hallStates() []command.HallState {
	var out []command.HallState
	d.control.View(func(now time.Time, n *node.Node) {
		for _, h := range n.Halls(now) {
			out = append(out, command.HallState{Hall: h.Hall, Revision: h.Revision, Age: h.Age, Silent: h.CutOff})
		}
	})
	return out
}
