// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/clock"
	"github.com/shelfledge/shelfledge/modules/daemon/httpserver"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/query"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// Options holds the settings of a daemon and what it needs in addition.
type Options struct {
	Settings *setting.Settings
	Log      *logrus.Entry
	// Blocked, if set, reports whether messages to an address are dropped. Tests use it to simulate network partitions.
	Blocked func(to netip.AddrPort) bool
}

// Daemon is a running daemon.
type Daemon struct {
	settings  *setting.Settings
	log       *logrus.Entry
	clock     *clock.Clock
	self      fleet.Instance
	metrics   *metric.Metrics
	journal   *journal.Journal
	kv        *kv.Client
	control   *control.Service
	relay     *relay.Service
	claimer   *once.Claimer
	query     *query.Service
	links     *peerlink.Links
	callers   *httpserver.Server
	operators *httpserver.Server
	addresses Addresses
	stopping  atomic.Bool
	cancel    context.CancelFunc
	ended     chan struct{}
}

// Addresses holds the actual addresses that a daemon listens on.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// ErrNotStarted reports that the daemon could not be started.
type ErrNotStarted struct {
	Part   string
	Reason string
}

// Error returns a message that contains the part that failed and the reason.
func (e ErrNotStarted) Error() string {
	return fmt.Sprintf("the daemon could not start: %s: %s", e.Part, e.Reason)
}

const (
	// journalSize is the capacity of the journal, in events. The ring buffer for 20,000 events takes 3.4 MB, plus the memory of their
	// strings (docs/capacity-shelfledged.md).
	journalSize = 20000
	// loadMargin is how much earlier a load order times out than the placer that waits for it, so that the placer receives the
	// answer before its own timeout.
	loadMargin = 2 * time.Second
	// queryTimeout limits the wait for the parts of a query's result from other instances. A longer timeout gives more complete
	// results, a shorter one gives faster results.
	queryTimeout = time.Second
	// dialTimeout limits the time to connect to an endpoint. A shorter timeout leads to an earlier retry at another endpoint; a longer
	// one still reaches slow endpoints.
	dialTimeout = time.Second
	// idleTimeout and maxIdlePerHost limit the idle connections to endpoints, which are kept to avoid new connections.
	idleTimeout    = time.Minute
	maxIdlePerHost = 1024
	// cancelRetryPeriod is how long the cancellation of a request that may still be running is retried. A ticket is not valid for
	// longer than this (docs/design/0002-ownership-and-tickets.md).
	cancelRetryPeriod = 10 * time.Minute
	// statusTimeout limits the calls that list the state of an endpoint and short orders to an endpoint.
	statusTimeout = 2 * time.Second
	// operatorWriteTimeout limits one write of a response to an operator or of a metrics page. It is as long as shelfctl waits for one at
	// most; a longer timeout reaches slower clients, a shorter one frees the connections of those that do not read sooner.
	operatorWriteTimeout = 30 * time.Second
	// permitMargin is the time after the load timeout at which a permit that was not returned expires.
	permitMargin = 15 * time.Second
)

// Start opens the listeners and starts all parts of the daemon.
func Start(o Options) (*Daemon, error) {
	s := o.Settings
	d := &Daemon{
		settings: s, log: o.Log, journal: journal.New(journalSize), ended: make(chan struct{}),
		metrics: metric.New(metric.Options{MaxCallers: s.Metrics.MaxCallers, MaxClasses: s.Metrics.MaxClasses}),
		kv: kv.New(kv.Options{
			Addresses: s.KV.Addresses, Timeout: s.KV.Timeout.Duration(), ReadsPerSecond: s.KV.ReadsPerSecond, WritesPerSecond: s.KV.WritesPerSecond,
		}),
	}
	listeners, err := d.listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.build(ctx, o, listeners); err != nil {
		cancel()
		listeners.close()
		return nil, err
	}
	d.startServing()
	return d, nil
}

// refreshGauges updates the metrics whose values are collected only when the metrics are read.
func (d *Daemon) refreshGauges() {
	d.metrics.Dropped.Set(float64(d.links.Dropped()))
	d.metrics.SetKVCalls(d.kv.Counts())
}

// startServing starts the control goroutine and the servers for callers and operators.
func (d *Daemon) startServing() {
	go func() {
		defer close(d.ended)
		d.control.Run()
	}()
	for name, s := range map[string]*httpserver.Server{"callers": d.callers, "operators": d.operators} {
		go func() {
			if err := s.Serve(); !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).WithField("server", name).Error("the server ended")
			}
		}()
	}
	d.log.WithFields(logrus.Fields{"callers": d.addresses.Callers, "operators": d.addresses.Operators, "peers": d.addresses.Peers}).Info("the daemon runs")
}

// Addresses returns the actual addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses {
	return d.addresses
}

// Control returns the control service, for tests and measurements.
func (d *Daemon) Control() *control.Service {
	return d.control
}

// Ready reports whether load balancers may send requests of callers to this daemon.
func (d *Daemon) Ready() bool {
	if d.stopping.Load() {
		return false
	}
	ready := false
	d.control.View(func(_ time.Time, n *node.Node) { ready = n.Ready() })
	return ready
}

// Stop shuts the daemon down gracefully. The daemon reports that it is not ready, waits for the configured notice time so that
// load balancers detect this, hands over its pools, waits for the requests in flight, and then stops all parts.
func (d *Daemon) Stop() {
	d.stopping.Store(true)
	d.log.Info("a planned stop begins")
	time.Sleep(d.settings.Limits.LeaveNotice.Duration())
	d.control.Leave()
	limit := d.settings.Limits.DrainLimit.Duration()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.drain(ctx, max(limit-drainNoticeTime, limit/drainDivisor))
	d.waitForRelay(ctx)
	// The only expected error is that the drain limit was reached. Open requests of operators do not delay the shutdown further.
	_ = d.operators.Shutdown(ctx)
	d.shutDown()
	d.log.Info("the daemon has stopped")
}

const (
	// drainNoticeTime is how long before the drain limit the requests in flight are ended, so that their callers receive an error
	// before the process closes their connections.
	drainNoticeTime = 500 * time.Millisecond
	// drainDivisor divides the drain limit. If the drain limit is short, requests may continue for this part of it nevertheless.
	drainDivisor = 2
)

// drain waits for the callers' requests in flight until timeout has passed. It then ends the remaining requests and waits, until
// ctx ends, for their callers to receive the outcome.
func (d *Daemon) drain(ctx context.Context, timeout time.Duration) {
	drainCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := d.callers.Shutdown(drainCtx)
	if err == nil {
		return
	}
	d.log.WithError(err).Warn("requests are still in flight at the drain limit")
	d.relay.EndRequests()
	if err := d.callers.Wait(ctx); err != nil {
		d.log.WithError(err).Warn("callers were not told in time that their requests end")
	}
}

// waitForRelay waits until the relay has finished or ctx ends.
func (d *Daemon) waitForRelay(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.relay.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Kill stops the daemon immediately, without a graceful shutdown. Tests use it to simulate a crash.
func (d *Daemon) Kill() {
	// A crash does not report errors, so they are ignored here.
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.shutDown()
}

// shutDown stops the control goroutine and waits until it has ended, and then closes the links to peers.
func (d *Daemon) shutDown() {
	d.cancel()
	d.control.Stop()
	<-d.ended
	d.links.Close()
}
