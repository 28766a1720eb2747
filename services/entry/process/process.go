// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/clock"
	"github.com/shelfledge/shelfledge/modules/entry/asynclog"
	"github.com/shelfledge/shelfledge/modules/entry/metric"
	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/routers/entry/gateway"
	"github.com/shelfledge/shelfledge/services/entry/connect"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// Options configure a process.
type Options struct {
	Coordinator coordinator.Options
	// Environment returns the coordinator's access to external systems; retire is called for endpoints that are gone.
	Environment func(retire func(deployment.EndpointID)) coordinator.Environment
	// DialEndpoint opens a connection to an endpoint over this instance's own links; nil dials TCP.
	DialEndpoint func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// ProbeEndpoint finds out whether an endpoint answers over a new connection.
	ProbeEndpoint connect.Probe
	Dialect       proxy.Dialect
	Callers       netip.AddrPort
	Ready         netip.AddrPort
	// Tunnels is where the process opens tunnels to endpoints for other instances; not valid if it opens none.
	Tunnels netip.AddrPort
	Metrics netip.AddrPort
	// MaxSockets is how many sockets the process may have open; 0 if the platform does not tell it.
	MaxSockets int
	// Grace is the time from the termination signal to the kill.
	Grace    time.Duration
	LogLevel logrus.Level
	// LogOutput is where the log is written; nil is standard output.
	LogOutput io.Writer
}

const (
	// graceMargin is the part of the grace that is kept free at its end. A higher value ends more surely before the kill, a lower one
	// serves the last requests longer.
	graceMargin = 600 * time.Millisecond
	// upstreamMaxIdle is how long a connection to an endpoint may be idle. A higher value reopens fewer connections, a lower one keeps
	// fewer open.
	upstreamMaxIdle = 20 * time.Second
	// upstreamDialTimeout bounds the set-up of a connection to an endpoint. A higher value tolerates a lossy link, a lower one tries
	// another endpoint sooner.
	upstreamDialTimeout = 500 * time.Millisecond
	// idleCheckInterval is how often idle connections are checked. A higher value costs less, a lower one closes them sooner.
	idleCheckInterval = time.Second
	// logLinesPerSecond, logBurst and logQueue (lines) bound the log, at some five times the requests of a busy instance. Higher values
	// lose fewer lines, lower ones bound the processor time and memory that failures cost.
	logLinesPerSecond = 300
	logBurst          = 1500
	logQueue          = 512
	// logCloseTimeout bounds the wait for the log output when the process ends. A higher value loses fewer of the last lines, a lower one
	// ends sooner.
	logCloseTimeout = 200 * time.Millisecond
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. A higher value costs less processor time, a lower one
	// less memory, which is the more expensive of the two.
	gcPercent = 50
)

// Process is one entry process.
type Process struct {
	options  Options
	log      *logrus.Entry
	writer   *asynclog.Writer
	client   *upstream.Client
	links    *connect.Connector
	tunnels  *tunnel.Acceptor
	origins  *exchange.Service
	control  *coordinator.Coordinator
	clock    *clock.Clock
	server   *gateway.Server
	stopping chan struct{}
}

// New assembles a process; Start starts it.
func New(options Options) *Process {
	log, writer := newLog(options)
	clock := newClock(log)
	links := newConnector(options, clock, log)
	client := upstream.NewClient(upstream.Options{MaxIdle: upstreamMaxIdle, DialTimeout: upstreamDialTimeout, Now: clock.Now, Paths: links.Paths()})
	options.Coordinator.Now, options.Coordinator.TimerNow = clock.Now, time.Now
	options.Coordinator.Random = rand.Float64
	options.Coordinator.Log = log
	var metrics *metric.Metrics
	options.Coordinator.ObserveOrder = func(kind, reply string) { metrics.ObserveOrder(kind, reply) }
	options.Coordinator.ObserveStoreFailure = func(call string) { metrics.ObserveStoreFailure(call) }
	options.Coordinator.ObserveRelay = func(bytes int) { metrics.ObserveRelay(bytes) }
	options.Coordinator.ObserveLinkClosed = func() { metrics.ObserveLinkClosed() }
	options.Coordinator.ObserveFormerVersion = func(age time.Duration, overdue bool) { metrics.ObserveFormerVersion(age, overdue) }
	options.Coordinator.ObserveRecall = func() { metrics.ObserveRecall() }
	options.Coordinator.ObserveControlWait = func(waited time.Duration) { metrics.ObserveControlWait(waited) }
	environment := options.Environment(func(id deployment.EndpointID) {
		client.Retire(string(id))
		links.Forget(id)
	})
	origins := newOrigins(options, environment.Store, clock, log)
	observeOrigins(&options.Coordinator, origins)
	options.Coordinator.ObserveTunnels = func(tunnels []wire.Tunnel) {
		links.SetPeers(peersOf(tunnels))
		origins.SetInstances(instancesOf(tunnels))
	}
	control := coordinator.New(options.Coordinator, environment)
	links.OnCutOff(control.SetCutOff)
	tunnels := newTunnelAcceptor(options, control, links, log)
	process := &Process{
		options: options, log: log, writer: writer, client: client, control: control, clock: clock, links: links, tunnels: tunnels,
		origins: origins, stopping: make(chan struct{}),
	}
	metrics = newMetrics(process)
	process.server = newServer(options, log, clock, control, origins, client, metrics, links)
	return process
}

// Start starts the coordinator and the gateway.
func (p *Process) Start() error {
	if err := p.startTunnels(); err != nil {
		return err
	}
	if err := p.origins.Start(); err != nil {
		p.log.WithError(err).Warn("no port for where streams began: this instance tells and asks no other one")
	}
	if err := p.control.Start(); err != nil {
		return err
	}
	if err := p.server.Start(); err != nil {
		return err
	}
	go p.closeIdleConnections()
	go p.checkLinks()
	p.log.Info("started")
	return nil
}

// Kill stops the process at once without ending its requests, as the loss of its host does.
func (p *Process) Kill() {
	p.server.Close()
	p.tunnels.Close()
	p.links.Stop()
	p.origins.Close()
	p.control.Stop()
	close(p.stopping)
	p.writer.Close(logCloseTimeout)
}

// Stop releases the lease at once and returns after the last request, or when the grace is nearly over.
func (p *Process) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.Grace-graceMargin)
	defer cancel()
	released := make(chan struct{})
	go func() {
		p.control.Release(ctx)
		close(released)
	}()
	p.server.Stop(ctx)
	<-released
	p.tunnels.Drain(ctx)
	p.tunnels.Close()
	p.links.Stop()
	p.origins.Close()
	p.log.WithField("in_flight", p.server.InFlight()).Info("stopped")
	p.control.Stop()
	close(p.stopping)
	p.writer.Close(logCloseTimeout)
}

// closeIdleConnections closes connections to endpoints that have been idle for too long, until the process stops.
func (p *Process) closeIdleConnections() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.client.CloseIdle(p.clock.Now())
		case <-p.stopping:
			return
		}
	}
}

// Signals receives the signals that Run handles. Each kind has its own channel, so that a hang-up never displaces a termination.
type Signals struct {
	terminate, hangup chan os.Signal
}

// NotifySignals starts to receive signals. Before that, each of them ends the process.
func NotifySignals() Signals {
	s := Signals{terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// Run serves until a signal ends the process. A hang-up changes nothing: all settings that may change in a running process are read from the store.
func Run(options Options, signals Signals) error {
	debug.SetGCPercent(gcPercent)
	process := New(options)
	if err := process.Start(); err != nil {
		return err
	}
	for {
		select {
		case received := <-signals.terminate:
			process.log.WithField("signal", received.String()).Info("stopping")
			process.Stop()
			return nil
		case <-signals.hangup:
			process.log.Info("hang-up signal ignored: settings are read only at the start")
		}
	}
}

// newLog returns a logger that never blocks, and its writer.
func newLog(options Options) (*logrus.Entry, *asynclog.Writer) {
	output := options.LogOutput
	if output == nil {
		output = os.Stdout
	}
	writer := asynclog.New(asynclog.Options{
		Output: output, LinesPerSecond: logLinesPerSecond, Burst: logBurst, Queue: logQueue, Now: time.Now,
		Summary: func(now time.Time, suppressed uint64) string {
			return fmt.Sprintf(`{"instance":%q,"level":"warning","msg":"log lines suppressed","count":%d,"time":%q}`,
				options.Coordinator.Instance, suppressed, now.Format(time.RFC3339Nano))
		},
	})
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetLevel(options.LogLevel)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithField("instance", options.Coordinator.Instance), writer
}

// newClock returns the clock for all decisions. Only the limits of callers' connections and of log lines use the runtime's own clock: after
// a suspension of the host they end late by its length, which does no harm.
func newClock(log *logrus.Entry) *clock.Clock {
	sources := clock.System()
	sources.OnSuspension = func(suspension time.Duration) {
		log.WithField("suspended_ms", suspension.Milliseconds()).Warn("the host was suspended")
	}
	c, err := clock.New(sources)
	if err == nil {
		return c
	}
	log.WithError(err).Warn("the suspension time of the host cannot be read: suspensions will not be detected")
	sources.Suspended = func() (time.Duration, error) { return 0, nil }
	if c, err = clock.New(sources); err != nil {
		// Sources without a suspension time never fail.
		panic(err)
	}
	return c
}

// newMetrics returns the metrics of a process.
func newMetrics(p *Process) *metric.Metrics {
	return metric.New(func() metric.Gauges { return p.gauges() })
}

// gauges returns the values of the gauges.
func (p *Process) gauges() metric.Gauges {
	status := p.control.Status()
	open, idle := p.client.OpenCount()
	gauges := metric.Gauges{
		ConfigurationVersion: float64(status.Configuration), Endpoints: float64(status.Endpoints), Ejected: float64(status.Ejected),
		Quarantined: float64(status.Quarantined), Resting: float64(status.Resting), Limited: float64(status.Limited),
		ResidentCopies: float64(status.ResidentCopies), Waiting: float64(status.Waiting), InFlight: float64(status.InFlight),
		Term: float64(status.Term), Members: float64(status.Members),
		Connections: float64(p.client.DialCount()), LogSuppressed: float64(p.writer.Suppressed()),
		PeerQueueBytes: float64(status.PeerQueueBytes), EndpointsAgeSeconds: status.EndpointsAge.Seconds(),
		CountsAgeSeconds: status.CountsAge.Seconds(), ConfigurationLagSeconds: status.ConfigurationLag.Seconds(),
		CallersConnections: float64(p.server.ConnectionCount()), EndpointConnections: float64(open), IdleEndpointConnections: float64(idle),
		DescriptorLimit: float64(descriptorLimit()), StoreEra: float64(status.StoreEra), TunnelsOpened: float64(p.tunnels.Opened()),
	}
	if status.Planning {
		gauges.Planning = 1
	}
	if p.links.CutOff() {
		gauges.CutOff = 1
	}
	return gauges
}

func newServer(options Options, log *logrus.Entry, clock *clock.Clock, control *coordinator.Coordinator, origins *exchange.Service, client *upstream.Client, metrics *metric.Metrics, links *connect.Connector) *gateway.Server {
	var server *gateway.Server
	service := proxy.New(proxy.Options{
		Now: clock.Now, Timer: clock.TimerTime, WithDeadline: clock.WithDeadline, Random: rand.Float64, Log: log,
		ShouldRefuse: func(kind deployment.RouteKind) bool { return server.ShouldRefuse(kind) },
		Leaving:      func() bool { return server.ClosesConnections() },
		LinkBroken:   links.LinkBroken,
		Observe:      func(o proxy.Observation) { metrics.ObserveRequest(metricRequest(o)) },
	}, proxy.Control{
		Configuration: control.Configuration, Acquire: control.Acquire, Finish: control.Finish, MarkRunning: control.MarkRunning,
		RecordCrash: control.RecordCrash, RecordUnanswered: control.RecordUnanswered, RecordAnswered: control.RecordAnswered,
		ApplyNotice:  control.ApplyNotice,
		CountRequest: control.CountRequest, TakeRetry: control.TakeRetry,
		Origins: proxy.Origins{Prepare: origins.Prepare, Expect: origins.Expect, Begin: origins.Begin, GoOn: origins.Begin, Find: origins.Find},
	}, client, options.Dialect)
	server = gateway.New(gateway.Options{
		Callers: options.Callers, Ready: options.Ready, Metrics: options.Metrics, Handler: service,
		MetricsHandler: withQuarantineRoutes(metrics.Handler(), control, log),
		MaxConnections: callerConnectionLimit(options.MaxSockets, descriptorLimit()),
		IsReady:        control.Ready, Now: time.Now, Log: log, ObserveConnection: metrics.ObserveConnection,
		CutOffCause: proxy.ErrProcessEnds,
		Limits: func() *deployment.Limits {
			if configuration := control.Configuration(); configuration != nil {
				return &configuration.Limits
			}
			return nil
		},
	})
	return server
}

func metricRequest(o proxy.Observation) metric.Request {
	return metric.Request{
		Route: o.Route, Status: o.Status, Reason: o.Reason, Retries: max(0, len(o.Attempts)-1),
		Waited: o.Waited(), First: o.First, Whole: o.Whole, StartRatios: o.StartRatios(), EndCauses: o.EndCauses(),
	}
}
