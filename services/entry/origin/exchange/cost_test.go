// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// cost is what a fleet sent for some streams.
type cost struct {
	datagrams, bytes int
}

// takeCost returns what was sent since the last call.
func (f *fleet) takeCost() cost {
	var sum cost
	for _, sent := range f.network.takeSent() {
		sum.datagrams++
		sum.bytes += len(sent.payload)
	}
	return sum
}

// perStream returns the cost of one of some streams.
func (c cost) perStream(streams int) string {
	return fmt.Sprintf("%.2f datagrams, %.0f bytes", float64(c.datagrams)/float64(streams), float64(c.bytes)/float64(streams))
}

// startLargeFleet starts a fleet in which all know the first 32 instances, as planners name them.
func startLargeFleet(t testing.TB, count, halls int) *fleet {
	t.Helper()
	f := startFleet(t, count, halls)
	for _, service := range f.services {
		service.SetInstances(f.instances[:min(count, 32)])
	}
	f.observe("2026.11.1", "2026.12.0")
	return f
}

// TestCostOfTellingAndAsking bounds what a stream costs at fleets of several sizes, and logs it.
func TestCostOfTellingAndAsking(t *testing.T) {
	for _, size := range []struct{ instances, halls int }{{6, 3}, {32, 8}, {320, 8}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startLargeFleet(t, size.instances, size.halls)
				defer f.close()
				began := origin.Origin{Service: "chat", Software: "2026.11.1"}
				const streams = 640
				for i := range streams {
					begin(f.services[i%size.instances], origin.KeyOf("route", fmt.Sprint(i)), began)
					time.Sleep(2 * latency)
				}
				telling := f.takeCost()
				for i := range streams {
					assertFound(t, known(began), f.services[(i+1)%size.instances], origin.KeyOf("route", fmt.Sprint(i)))
				}
				asking := f.takeCost()
				assert.LessOrEqual(t, telling.datagrams, 4*streams, "three holders, and the instance that writes into the archive")
				assert.LessOrEqual(t, asking.datagrams, 2*8*streams)
				t.Logf("told: %s; taken up: %s", telling.perStream(streams), asking.perStream(streams))
				f.tellAtOnce(t, streams, began)
			})
		})
	}
}

// tellAtOnce lets one instance tell streams together, as it does once a second software appears.
func (f *fleet) tellAtOnce(t *testing.T, streams int, began origin.Origin) {
	t.Helper()
	for i := range streams {
		begin(f.services[0], origin.KeyOf("other", fmt.Sprint(i)), began)
	}
	time.Sleep(settling)
	t.Logf("told together: %s", f.takeCost().perStream(streams))
}

// startAlone starts an instance with a list of 32 others that are not there.
func startAlone(b *testing.B, softwares ...string) *exchange.Service {
	b.Helper()
	instances := list(32, 8)
	service := startInstance(b, newNetwork(), instances[0], instances)
	b.Cleanup(service.Close)
	service.ObserveEndpoints(time.Now(), chat(softwares...))
	return service
}

// BenchmarkBeginOfSoleSoftware is what each resumable stream costs while one software serves.
func BenchmarkBeginOfSoleSoftware(b *testing.B) {
	service := startAlone(b, "1.0")
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		service.Begin(now, origin.KeyOf("route", "attempt")+origin.Key(i), one, now.Add(window))
	}
}

// BenchmarkBeginOfTwoSoftwares is what its caller waits for where the stream is told as well; most of that goes on in another goroutine.
func BenchmarkBeginOfTwoSoftwares(b *testing.B) {
	service := startAlone(b, "1.0", "2.0")
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		service.Begin(now, origin.KeyOf("route", "attempt")+origin.Key(i), one, now.Add(window))
	}
}

// processorTime returns the processor time of this process so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkArchivedStream is the processor time of an instance that tells a stream and of the one that writes it into the archive together, with
// the network and the store of the test.
func BenchmarkArchivedStream(b *testing.B) {
	n, instances := newNetwork(), list(2, 1)
	archiver, _ := origin.NewHolders(instances[0], instances).Archiver(0)
	writing := slices.IndexFunc(instances, func(instance origin.Instance) bool { return instance.Address == archiver })
	service := startInstance(b, n, instances[writing], instances)
	b.Cleanup(service.Close)
	teller := startInstance(b, n, instances[1-writing], instances)
	b.Cleanup(teller.Close)
	for _, instance := range []*exchange.Service{service, teller} {
		instance.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
	}
	now := time.Now()
	before := processorTime(b)
	for i := range b.N {
		teller.Begin(now, origin.Key(i), one, now.Add(window))
		for uint64(i) > service.Counters().Archived+queueLength/2 {
			time.Sleep(latency)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// fewCalls are those of the instances that state the softwares and write streams.
const fewCalls = 8

// TestCallsToStateUses counts the calls to the store once a second software serves and every instance begins streams at both: a lease of each, and
// a write for each of the two.
func TestCallsToStateUses(t *testing.T) {
	for _, count := range []int{6, 32, 320} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, count, min(count/2, 8), "1.0")
				defer f.close()
				time.Sleep(settling)
				for i, service := range f.services {
					prepareAndBegin(t, service, origin.Key(i), one)
				}
				time.Sleep(settling)
				before := f.network.store.Counts()
				f.observe("1.0", "2.0")
				for _, service := range f.services {
					service.Prepare(t.Context(), one)
					service.Prepare(t.Context(), two)
				}
				after := f.network.store.Counts()
				t.Logf("%d instances: %d grants, %d writes", count, after.Grants-before.Grants, after.Writes-before.Writes)
				assert.LessOrEqual(t, after.Grants-before.Grants, count+fewCalls)
				assert.LessOrEqual(t, after.Writes-before.Writes, 2*count+fewCalls)
			})
		})
	}
}
