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
	// processCount is the number of complete processes, fewer than the users' sites have, to limit the load on the machine.
	processCount = 12
	// configurationDelay is the time after which the first planner is elected, and a new configuration is in force in all processes.
	configurationDelay = 5 * time.Second
)

// BenchmarkEntryCapacityProcess reports the memory peaks of complete processes without callers: of the planner and of the largest follower,
// first with one configuration in force, then after a second one of the same size.
func BenchmarkEntryCapacityProcess(b *testing.B) {
	cases := []struct {
		name   string
		routes int
	}{{"2,000 routes", entryRoutes}, {"1 MB", largestValueRoutes}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				source := startChild(b, roleStore, c.routes, "")
				fleet := startProcessFleet(b, source.readLine())
				time.Sleep(configurationDelay)
				planner, follower := fleet.peaks(1)
				source.triggerNext()
				time.Sleep(configurationDelay)
				plannerAfter, followerAfter := fleet.peaks(2)
				b.ReportMetric(planner, "KB-HWM-planner")
				b.ReportMetric(follower, "KB-HWM-follower")
				b.ReportMetric(plannerAfter, "KB-HWM-planner-second")
				b.ReportMetric(followerAfter, "KB-HWM-follower-second")
				fleet.stop()
				source.stop()
			}
		})
	}
}

// processFleet is a fleet of processes of the entry program.
type processFleet struct {
	ips      []string
	ports    standin.Ports
	children []*childProcess
}

func startProcessFleet(b *testing.B, store string) *processFleet {
	f := &processFleet{}
	for i := range processCount {
		f.ips = append(f.ips, fmt.Sprintf("127.41.0.%d", i+1))
	}
	var err error
	f.ports, err = standin.FreePorts(f.ips)
	must(err)
	for i, ip := range f.ips {
		settings, err := json.Marshal(standin.Settings(memberName(i), "hall-0", ip, f.ports, []string{f.ips[0] + ":1"}, store))
		must(err)
		started := startChild(b, roleEntry, int(f.ports.Metrics), string(settings))
		started.readLine()
		f.children = append(f.children, started)
	}
	return f
}

// peaks returns the peak of the planner and the greatest peak of the other processes, in kilobytes. It panics unless all processes have the
// given version of the configuration in force and list all endpoints and copies, and one process is the planner.
func (f *processFleet) peaks(version int) (planner, follower float64) {
	for i, child := range f.children {
		resident := residentPeakOf(strconv.Itoa(child.command.Process.Pid))
		page := f.fetchMetrics(f.ips[i])
		page.requireValue("configuration_version", version)
		page.requireValue("endpoints", entryEndpoints)
		page.requireValue("resident_copies", entryEndpoints*adaptersPerEndpoint)
		if page.hasValue("planning", 1) {
			planner = resident
			continue
		}
		follower = max(follower, resident)
	}
	if planner == 0 {
		panic("no process is the planner")
	}
	return planner, follower
}

// metricsPage is the text of the metrics endpoint of one process.
type metricsPage string

func (p metricsPage) hasValue(name string, value int) bool {
	return strings.Contains(string(p), fmt.Sprintf("\nshelfledge_%s %d\n", name, value))
}

func (p metricsPage) requireValue(name string, value int) {
	if !p.hasValue(name, value) {
		panic(fmt.Sprintf("metric %s is not %d", name, value))
	}
}

// fetchMetrics returns the metrics page of the process at an address.
func (f *processFleet) fetchMetrics(ip string) metricsPage {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/", ip, f.ports.Metrics))
	must(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must(err)
	return metricsPage(text)
}

func (f *processFleet) stop() {
	for _, child := range f.children {
		child.stop()
	}
}

// runEntry runs a complete process of the entry program. Its source argument holds the settings, its numeric argument the metrics port.
func runEntry() {
	debug.SetGCPercent(gcPercent)
	settings, err := platform.ParseSettings([]byte(os.Getenv(sourceEnv)))
	must(err)
	options := settings.Process(logrus.InfoLevel, uint16(numberArgument()))
	options.LogOutput = io.Discard
	entry := process.New(options)
	must(entry.Start())
	fmt.Println("started")
	waitForLine(bufio.NewReader(os.Stdin))
	entry.Kill()
}

// endpointValue returns the registration of an endpoint on which its share of all adapters is resident. No listener is open at its address.
func endpointValue(number int) map[string]any {
	var names []string
	for adapter, version := range newEntryEndpoint(number).Adapters {
		names = append(names, fmt.Sprintf("%s@%d", adapter.Name, version))
	}
	return map[string]any{
		"service": serviceName, "address": "127.0.0.1:9", "zone": "hall-0", "version": "1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 0,
		"models": []map[string]any{{"name": modelName, "adapters": names}},
	}
}
