// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
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

// Run serves until the process is told to stop.
func Run(options Options) error {
	debug.SetGCPercent(collectorPercent)
	log := newLog(options)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	client := upstream.NewClient(upstream.Options{MaxIdle: upstreamIdle, DialTimeout: upstreamDial, Now: time.Now})
	options.Coordinator.Now = time.Now
	options.Coordinator.Random = rand.Float64
	options.Coordinator.Log = log
	control := coordinator.New(options.Coordinator, options.Environment(func(id deployment.EndpointID) { client.Retire(string(id)) }))
	server := newServer(options, log, control, client)
	if err := control.Start(); err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	log.Info("started")
	wait(signals, client, log)
	stop(options, log, server, control)
	return nil
}

func newLog(options Options) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
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

// wait returns at a signal to stop; a hang-up changes nothing, since what may change while a
// process runs comes from the store.
func wait(signals <-chan os.Signal, client *upstream.Client, log *logrus.Entry) {
	ticker := time.NewTicker(idlePause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			client.CloseIdle(time.Now())
		case received := <-signals:
			if received != syscall.SIGHUP {
				log.WithField("signal", received.String()).Info("stopping")
				return
			}
			log.Info("hang-up: settings of a running process stay as they are")
		}
	}
}

// stop hands the ownership over at once and ends after the last request.
func stop(options Options, log *logrus.Entry, server *gateway.Server, control *coordinator.Coordinator) {
	ctx, cancel := context.WithTimeout(context.Background(), options.Grace-graceMargin)
	defer cancel()
	released := make(chan struct{})
	go func() {
		control.Release(ctx)
		close(released)
	}()
	server.Stop(ctx)
	<-released
	log.WithField("in_flight", server.InFlight()).Info("stopped")
	control.Stop()
}
