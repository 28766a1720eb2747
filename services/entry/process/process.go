// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/routers/entry/gateway"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// Options are the settings of a process.
type Options struct {
	Coordinator coordinator.Options
	// Environment makes the outside calls of the coordinator; retire is called for endpoints
	// that are gone.
	Environment func(retire func(deployment.EndpointID)) coordinator.Environment
	Dialect     proxy.Dialect
	Callers     netip.AddrPort
	Ready       netip.AddrPort
	Metrics     netip.AddrPort
	// Grace is the time between the signal to stop and the kill.
	Grace    time.Duration
	LogLevel logrus.Level
	// LogOutput takes the log; nil is standard output.
	LogOutput io.Writer
}

const (
	// graceMargin is kept free at the end of the grace. Longer is surer to end before the kill, shorter serves the last requests longer.
	graceMargin = 600 * time.Millisecond
	// upstreamIdle is how long a connection to an endpoint may be idle. Longer opens fewer connections anew, shorter holds fewer open.
	upstreamIdle = 20 * time.Second
	// upstreamDial bounds the set-up of a connection to an endpoint. Longer bears a lossy link, shorter tries another endpoint sooner.
	upstreamDial = 500 * time.Millisecond
	// idleCheckInterval is how often idle connections are looked at. Longer costs less, shorter closes them sooner.
	idleCheckInterval = time.Second
	// logLinesPerSecond, logBurst and logQueue (lines) bound the log: some five times a busy instance's requests. Higher loses fewer lines,
	// lower bounds the processor time and memory that failures cost.
	logLinesPerSecond = 300
	logBurst          = 1500
	logQueue          = 512
	// logTimeout bounds the wait for the log's reader at the end. Longer loses fewer of the last lines, shorter ends sooner.
	logTimeout = 200 * time.Millisecond
	// collectorPercent is by how much the heap may grow until it is collected, in percent. Higher costs less processor time, lower less
	// memory, which is dearer.
	collectorPercent = 50
)

// Process is one entry process.
type Process struct {
	options  Options
	log      *logrus.Entry
	writer   *asynclog.Writer
	client   *upstream.Client
	control  *coordinator.Coordinator
	clock    *clock.Clock
	server   *gateway.Server
	stopping chan struct{}
}

// New joins the parts of a process; Start starts them.
func New(options Options) *Process {
	log, writer := newLog(options)
	clock := newClock(log)
	client := upstream.NewClient(upstream.Options{MaxIdle: upstreamIdle, DialTimeout: upstreamDial, Now: clock.Now})
	options.Coordinator.Now, options.Coordinator.TimerNow = clock.Now, time.Now
	options.Coordinator.Random = rand.Float64
	options.Coordinator.Log = log
	var metrics *metric.Metrics
	options.Coordinator.ObserveOrder = func(kind, reply string) { metrics.ObserveOrder(kind, reply) }
	options.Coordinator.ObserveStoreFailure = func(call string) { metrics.ObserveStoreFailure(call) }
	options.Coordinator.ObserveRelay = func(bytes int) { metrics.ObserveRelay(bytes) }
	options.Coordinator.ObserveLinkClosed = func() { metrics.ObserveLinkClosed() }
	options.Coordinator.ObserveFormerVersion = func(age time.Duration, overdue bool) { metrics.ObserveFormerVersion(age, overdue) }
	options.Coordinator.ObserveTakenBack = func() { metrics.ObserveTakenBack() }
	control := coordinator.New(options.Coordinator, options.Environment(func(id deployment.EndpointID) { client.Retire(string(id)) }))
	metrics = newMetrics(control, client, writer)
	return &Process{
		options: options, log: log, writer: writer, client: client, control: control, clock: clock,
		server: newServer(options, log, clock, control, client, metrics), stopping: make(chan struct{}),
	}
}

// Start begins to serve.
func (p *Process) Start() error {
	if err := p.control.Start(); err != nil {
		return err
	}
	if err := p.server.Start(); err != nil {
		return err
	}
	go p.closeIdle()
	p.log.Info("started")
	return nil
}

// Kill ends the process's work at once, as the loss of its host does.
func (p *Process) Kill() {
	p.server.Close()
	p.control.Stop()
	close(p.stopping)
	p.writer.Close(logTimeout)
}

// Stop hands the lease over at once and returns after the last request, or when the
// grace is nearly over.
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
	p.log.WithField("in_flight", p.server.InFlight()).Info("stopped")
	p.control.Stop()
	close(p.stopping)
	p.writer.Close(logTimeout)
}

// closeIdle closes connections to endpoints that have been idle for too long.
func (p *Process) closeIdle() {
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

// Signals are those that Run handles. Each kind has a place of its own, so that hang-ups never displace a stop.
type Signals struct {
	stop, hangup chan os.Signal
}

// TakeSignals takes signals from now on. Until then each of them ends the process.
func TakeSignals() Signals {
	s := Signals{stop: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// Run serves until a signal ends the process. A hang-up changes nothing: what may change
// while a process runs comes from the store.
func Run(options Options, signals Signals) error {
	debug.SetGCPercent(collectorPercent)
	process := New(options)
	if err := process.Start(); err != nil {
		return err
	}
	for {
		select {
		case received := <-signals.stop:
			process.log.WithField("signal", received.String()).Info("stopping")
			process.Stop()
			return nil
		case <-signals.hangup:
			process.log.Info("hang-up: settings of a running process stay as they are")
		}
	}
}

// newLog gives a logger whose lines never block, and their writer.
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

// newClock gives the clock of all that decides. Only what bounds callers' connections and the log's lines goes by the runtime's own: a rest
// that ends late, by the time of a suspension, costs nobody anything.
func newClock(log *logrus.Entry) *clock.Clock {
	sources := clock.System()
	sources.Noticed = func(span time.Duration) {
		log.WithField("suspended_ms", span.Milliseconds()).Warn("the host was suspended")
	}
	c, err := clock.New(sources)
	if err == nil {
		return c
	}
	log.WithError(err).Warn("the system does not tell whether the host was suspended")
	sources.Suspended = func() (time.Duration, error) { return 0, nil }
	if c, err = clock.New(sources); err != nil {
		// Such sources never fail.
		panic(err)
	}
	return c
}

// newMetrics gives the metrics of a process.
func newMetrics(control *coordinator.Coordinator, client *upstream.Client, writer *asynclog.Writer) *metric.Metrics {
	return metric.New(func() metric.Gauges {
		status := control.Status()
		gauges := metric.Gauges{
			ConfigurationVersion: float64(status.Configuration), Endpoints: float64(status.Endpoints), Ejected: float64(status.Ejected),
			Quarantined:    float64(status.Quarantined),
			Resting:        float64(status.Resting),
			Limited:        float64(status.Limited),
			ResidentCopies: float64(status.ResidentCopies), Waiting: float64(status.Waiting), InFlight: float64(status.InFlight),
			Term: float64(status.Term), Members: float64(status.Members),
			Connections: float64(client.Dialed()), LogSuppressed: float64(writer.Suppressed()),
			PeerQueueBytes: float64(status.PeerQueueBytes), EndpointsAgeSeconds: status.EndpointsAge.Seconds(),
			CountsAgeSeconds: status.CountsAge.Seconds(),
		}
		if status.Planning {
			gauges.Planning = 1
		}
		return gauges
	})
}

func newServer(options Options, log *logrus.Entry, clock *clock.Clock, control *coordinator.Coordinator, client *upstream.Client, metrics *metric.Metrics) *gateway.Server {
	var server *gateway.Server
	service := proxy.New(proxy.Options{
		Now: clock.Now, Timer: clock.Timer, WithDeadline: clock.WithDeadline, Random: rand.Float64, Log: log,
		Refusing: func(kind deployment.RouteKind) bool { return server.Refusing(kind) },
		Leaving:  func() bool { return server.Leaving() },
		Observe:  func(o proxy.Observation) { metrics.ObserveRequest(toMetric(o)) },
	}, proxy.Control{
		Configuration: control.Configuration, Acquire: control.Acquire, Finish: control.Finish, Running: control.Running,
		Crashed: control.Crashed, Unanswered: control.Unanswered, Answered: control.Answered,
		Heard:        control.Heard,
		CountRequest: control.CountRequest, TakeRetry: control.TakeRetry,
	}, client, options.Dialect)
	server = gateway.New(gateway.Options{
		Callers: options.Callers, Ready: options.Ready, Metrics: options.Metrics, Handler: service,
		MetricsHandler: withQuarantine(metrics.Handler(), control, log),
		IsReady:        control.Ready, Now: time.Now, Log: log, ObserveConnection: metrics.ObserveConnection,
		Ending: proxy.ErrProcessEnds,
		Limits: func() *deployment.Limits {
			if configuration := control.Configuration(); configuration != nil {
				return &configuration.Limits
			}
			return nil
		},
	})
	return server
}

func toMetric(o proxy.Observation) metric.Request {
	return metric.Request{
		Route: o.Route, Status: o.Status, Reason: o.Reason, Retries: max(0, len(o.Attempts)-1),
		Waited: o.Waited(), First: o.First, Whole: o.Whole, StartRatios: o.StartRatios(), Enders: o.Enders(),
	}
}
