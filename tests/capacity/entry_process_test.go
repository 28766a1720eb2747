// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/services/entry/process"
	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// playedInstances is how many whole processes are played, fewer than the users' sites have, to spare the machine.
	playedInstances = 12
	// settled is the time for the first planner, and for a configuration to be in force everywhere.
	settled = 5 * time.Second
)

// BenchmarkEntryCapacityProcess prints the peaks of whole processes without callers: of the planner and of the largest follower, with a
// configuration in force, and after a second one of the same size.
func BenchmarkEntryCapacityProcess(b *testing.B) {
	cases := []struct {
		name   string
		routes int
	}{{"2,000 routes", entryRoutes}, {"1 MB", largestValueRoutes}}
	for _, one := range cases {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				source := startPlayer(b, roleStore, one.routes, "")
				fleet := startFleet(b, source.line())
				time.Sleep(settled)
				planner, follower := fleet.peaks(1)
				source.next()
				time.Sleep(settled)
				plannerAfter, followerAfter := fleet.peaks(2)
				b.ReportMetric(planner, "KB-HWM-planner")
				b.ReportMetric(follower, "KB-HWM-follower")
				b.ReportMetric(plannerAfter, "KB-HWM-planner-second")
				b.ReportMetric(followerAfter, "KB-HWM-follower-second")
				fleet.end()
				source.end()
			}
		})
	}
}

// playedFleet is processes of the entry program.
type playedFleet struct {
	ips     []string
	ports   standin.Ports
	players []*player
}

func startFleet(b *testing.B, store string) *playedFleet {
	f := &playedFleet{}
	for i := range playedInstances {
		f.ips = append(f.ips, fmt.Sprintf("127.41.0.%d", i+1))
	}
	var err error
	f.ports, err = standin.FreePorts(f.ips)
	must(err)
	for i, ip := range f.ips {
		settings, err := json.Marshal(standin.Settings(memberName(i), "hall-0", ip, f.ports, []string{f.ips[0] + ":1"}, store))
		must(err)
		started := startPlayer(b, roleEntry, int(f.ports.Metrics), string(settings))
		started.line()
		f.players = append(f.players, started)
	}
	return f
}

// peaks gives the planner's peak and the greatest one of the others, in kilobytes. All must have a version of the configuration in force and
// know all endpoints and copies, and one must plan.
func (f *playedFleet) peaks(version int) (planner, follower float64) {
	for i, one := range f.players {
		resident := residentPeakOf(strconv.Itoa(one.command.Process.Pid))
		said := f.figures(f.ips[i])
		said.expect("configuration_version", version)
		said.expect("endpoints", entryEndpoints)
		said.expect("resident_copies", entryEndpoints*adaptersAnEndpoint)
		if said.has("planning", 1) {
			planner = resident
			continue
		}
		follower = max(follower, resident)
	}
	if planner == 0 {
		panic("no instance plans")
	}
	return planner, follower
}

// processFigures are what one process says of itself.
type processFigures string

func (f processFigures) has(name string, value int) bool {
	return strings.Contains(string(f), fmt.Sprintf("\nshelfledge_%s %d\n", name, value))
}

func (f processFigures) expect(name string, value int) {
	if !f.has(name, value) {
		panic(fmt.Sprintf("%s is not %d", name, value))
	}
}

// figures gives those of the instance at an address.
func (f *playedFleet) figures(ip string) processFigures {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/", ip, f.ports.Metrics))
	must(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must(err)
	return processFigures(text)
}

func (f *playedFleet) end() {
	for _, one := range f.players {
		one.end()
	}
}

// playEntry is a whole process; its source is its settings, and the number is its port of figures.
func playEntry() {
	debug.SetGCPercent(collectorPercent)
	settings, err := platform.ParseSettings([]byte(os.Getenv(sourceVariable)))
	must(err)
	options := settings.Process(logrus.InfoLevel, uint16(playedNumber()))
	options.LogOutput = io.Discard
	entry := process.New(options)
	must(entry.Start())
	fmt.Println("started")
	waitLine(bufio.NewReader(os.Stdin))
	entry.Kill()
}

// endpointValue is what an endpoint that holds its part of all adapters writes of itself, at a port on which nobody listens.
func endpointValue(number int) map[string]any {
	var names []string
	for adapter, version := range entryEndpoint(number).Adapters {
		names = append(names, fmt.Sprintf("%s@%d", adapter.Name, version))
	}
	return map[string]any{
		"service": serviceName, "address": "127.0.0.1:9", "zone": "hall-0", "slots": 16, "state": "ready",
		"models": []map[string]any{{"name": modelName, "adapters": names}},
	}
}
