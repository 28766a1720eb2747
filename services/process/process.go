// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/deployment"
	"github.com/shelfledge/shelfledge/modules/upstream"
	"github.com/shelfledge/shelfledge/routers/gateway"
	"github.com/shelfledge/shelfledge/services/coordinator"
	"github.com/shelfledge/shelfledge/services/entry"
)

// Options are the settings of a process.
type Options struct {
	Coordinator coordinator.Options
	// Environment makes the world around the coordinator; retire is called for endpoints
	// that are gone.
	Environment func(retire func(deployment.EndpointID)) coordinator.Environment
	Dialect     entry.Dialect
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
	// graceMargin is kept free at the end of the grace.
	graceMargin = 600 * time.Millisecond
	// upstreamIdle is the longest rest of a connection to an endpoint.
	upstreamIdle = 20 * time.Second
	// upstreamDial bounds the set-up of a connection to an endpoint.
	upstreamDial = 500 * time.Millisecond
	// idlePause is how often idle connections are looked at.
	idlePause = time.Second
	// collectorPercent trades processor time for memory, which is dearer.
	collectorPercent = 50
)

// Process is one entry process.
type Process struct {
	options  Options
	log      *logrus.Entry
	client   *upstream.Client
	control  *coordinator.Coordinator
	server   *gateway.Server
	stopping chan struct{}
}

// New joins the parts of a process; Start starts them.
func New(options Options) *Process {
	log := newLog(options)
	client := upstream.NewClient(upstream.Options{MaxIdle: upstreamIdle, DialTimeout: upstreamDial, Now: time.Now})
	options.Coordinator.Now = time.Now
	options.Coordinator.Random = rand.Float64
	options.Coordinator.Log = log
	control := coordinator.New(options.Coordinator, options.Environment(func(id deployment.EndpointID) { client.Retire(string(id)) }))
	return &Process{
		options: options, log: log, client: client, control: control, server: newServer(options, log, control, client),
		stopping: make(chan struct{}),
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

// Kill ends the process's work at once, as the loss of its machine does.
func (p *Process) Kill() {
	p.server.Close()
	p.control.Stop()
	close(p.stopping)
}

// Stop hands the ownership over at once and returns after the last request, or when the
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
}

// closeIdle closes connections to endpoints that rest too long.
func (p *Process) closeIdle() {
	ticker := time.NewTicker(idlePause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.client.CloseIdle(time.Now())
		case <-p.stopping:
			return
		}
	}
}

// Run serves until the process is told to stop. A hang-up changes nothing: what may change
// while a process runs comes from the store.
func Run(options Options) error {
	debug.SetGCPercent(collectorPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	process := New(options)
	if err := process.Start(); err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			process.log.WithField("signal", received.String()).Info("stopping")
			break
		}
		process.log.Info("hang-up: settings of a running process stay as they are")
	}
	process.Stop()
	return nil
}

func newLog(options Options) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	if options.LogOutput != nil {
		logger.SetOutput(options.LogOutput)
	}
	logger.SetLevel(options.LogLevel)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithField("instance", options.Coordinator.Instance)
}

func newServer(options Options, log *logrus.Entry, control *coordinator.Coordinator, client *upstream.Client) *gateway.Server {
	var server *gateway.Server
	service := entry.New(entry.Options{
		Now: time.Now, Random: rand.Float64, Log: log,
		Refusing: func(kind deployment.RouteKind) bool { return server.Refusing(kind) },
		Leaving:  func() bool { return server.Leaving() },
	}, entry.Control{
		Configuration: control.Configuration, Acquire: control.Acquire, Finish: control.Finish,
		CountRequest: control.CountRequest, TakeRepeat: control.TakeRepeat,
	}, client, options.Dialect)
	server = gateway.New(gateway.Options{
		Callers: options.Callers, Ready: options.Ready, Metrics: options.Metrics, Handler: service,
		IsReady: control.Ready, Now: time.Now, Log: log,
		Limits: func() *deployment.Limits {
			if configuration := control.Configuration(); configuration != nil {
				return &configuration.Limits
			}
			return nil
		},
	})
	return server
}
