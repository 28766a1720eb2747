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

// Options are what a daemon is made of besides its settings.
type Options struct {
	Settings *setting.Settings
	Log      *logrus.Entry
	// Blocked, if set, cuts messages to peers off, for tests.
	Blocked func(to netip.AddrPort) bool
}

// Daemon is one running daemon.
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

// Addresses are where a daemon really listens.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// ErrNotStarted reports a daemon that could not start.
type ErrNotStarted struct {
	Part   string
	Reason string
}

// Error names the part at fault.
func (e ErrNotStarted) Error() string {
	return fmt.Sprintf("the daemon could not start: %s: %s", e.Part, e.Reason)
}

const (
	// journalSize is in events: 3.4 MB for the places of 20,000, their texts come on top (docs/capacity-shelfledged.md).
	journalSize = 20000
	// loadMargin is how much sooner an order to load gives up than its placer, so that the answer comes before that.
	loadMargin = 2 * time.Second
	// queryTimeout bounds the wait for other instances' parts of a query: longer gives more complete answers, shorter ones
	// sooner.
	queryTimeout = time.Second
	// dialTimeout bounds a connection to an endpoint: a retry elsewhere comes sooner, or a slow endpoint is still reached.
	dialTimeout = time.Second
	// idleTimeout and idlePerHost bound the idle connections to endpoints, kept to save connecting again.
	idleTimeout = time.Minute
	idlePerHost = 1024
	// cancelLife is how long a request that may still run is cancelled again and again; a ticket lasts no longer
	// (docs/design/0002-ownership-and-tickets.md).
	cancelLife = 10 * time.Minute
	// statusTimeout bounds lists of, and short orders to, an endpoint.
	statusTimeout = 2 * time.Second
	// permitMargin is how long after the longest load a permit lapses that was not given back.
	permitMargin = 15 * time.Second
)

// Start opens the listeners and starts the daemon.
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
	d.run()
	return d, nil
}

// refresh brings the gauges up to date that nobody sets as it happens.
func (d *Daemon) refresh() {
	d.metrics.Dropped.Set(float64(d.links.Dropped()))
	d.metrics.SetKVCalls(d.kv.Counts())
}

func (d *Daemon) run() {
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

// Addresses tells where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return d.addresses
}

// Control gives the control service, for tests and measurements.
func (d *Daemon) Control() *control.Service {
	return d.control
}

// Ready tells whether callers may be sent here.
func (d *Daemon) Ready() bool {
	if d.stopping.Load() {
		return false
	}
	ready := false
	d.control.View(func(_ time.Time, n *node.Node) { ready = n.Ready() })
	return ready
}

// Stop ends the daemon by plan: it reports itself unready, gives the balancer time to
// see that, hands its pools over, waits for what is in flight, and only then leaves.
func (d *Daemon) Stop() {
	d.stopping.Store(true)
	d.log.Info("a planned stop begins")
	time.Sleep(d.settings.Limits.LeaveNotice.Duration())
	d.control.Leave()
	limit := d.settings.Limits.DrainLimit.Duration()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.drain(ctx, max(limit-tellingTime, limit/drainShare))
	d.waitFor(ctx)
	// Its one error is the drain limit, and an operator's open request is no reason to go on.
	_ = d.operators.Shutdown(ctx)
	d.end()
	d.log.Info("the daemon has stopped")
}

const (
	// tellingTime is how long before the drain limit requests are ended that are still open, so that their callers are told before their
	// connections end with the process.
	tellingTime = 500 * time.Millisecond
	// drainShare is the part of a short drain limit in which requests go on all the same, as a divisor.
	drainShare = 2
)

// drain waits for the callers' open requests, for so long, and then has the rest be told what became of them.
func (d *Daemon) drain(ctx context.Context, patience time.Duration) {
	waiting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	err := d.callers.Shutdown(waiting)
	if err == nil {
		return
	}
	d.log.WithError(err).Warn("requests are still in flight at the drain limit")
	d.relay.EndRequests()
	if err := d.callers.Wait(ctx); err != nil {
		d.log.WithError(err).Warn("callers were not told in time that their requests end")
	}
}

func (d *Daemon) waitFor(ctx context.Context) {
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

// Kill ends the daemon at once, as a crash would, for tests.
func (d *Daemon) Kill() {
	// A crash tells nobody of errors either.
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.end()
}

func (d *Daemon) end() {
	d.cancel()
	d.control.Stop()
	<-d.ended
	d.links.Close()
}
