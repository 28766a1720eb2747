// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// describedSoftware is described for an endpoint of a software.
func describedSoftware(id, software string, adapters ...deployment.Adapter) deployment.Endpoint {
	endpoint := described(id, adapters...)
	endpoint.Software = software
	return endpoint
}

// pinnedDemand is the demand of one request that only the endpoints of a software may run.
func pinnedDemand(adapter deployment.Adapter, software string) []loading.Demand {
	return []loading.Demand{{Adapter: adapter, Software: software, Waiting: 1, InTime: time.Second}}
}

// pinnedFleet returns a planner of an endpoint of software v1 that holds adapter 1, and of three that hold none: two of other
// and of unknown software, and one, "wanted", of v2.
func pinnedFleet(t *testing.T) *loading.Planner {
	t.Helper()
	p := newPlanner(1)
	p.SetEndpoint(start, describedSoftware("holder", "v1", adapter(1)), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Adapters: described("", adapter(1)).Adapters})
	p.SetEndpoint(start, describedSoftware("other", "v1"), nextRevision(), false)
	p.SetEndpoint(start, describedSoftware("unknown", ""), nextRevision(), false)
	p.SetEndpoint(start, describedSoftware("wanted", "v2"), nextRevision(), false)
	return p
}

// assertNoOrder checks that no order follows later, when the pause after a search in vain is over.
func assertNoOrder(t *testing.T, p *loading.Planner, message string) {
	t.Helper()
	_, ok := p.Next(start.Add(time.Second))
	assert.False(t, ok, message)
}

// TestCopyIsLoadedAtSoftwareThatRequestsNeed checks that the copy of another software is no use to a stream that goes on, and
// that only one copy is loaded for it.
func TestCopyIsLoadedAtSoftwareThatRequestsNeed(t *testing.T) {
	p := pinnedFleet(t)
	p.Report(start, "i", waitingDemand(adapter(1)))
	assertNoOrder(t, p, "any other request may use the copy that exists")

	p.Report(start, "i", pinnedDemand(adapter(1), "v2"))
	p.Report(start, "j", pinnedDemand(adapter(1), "v2"))
	later := start.Add(2 * time.Second)
	order := nextOrder(t, p, later, loading.Load)
	assert.Equal(t, deployment.EndpointID("wanted"), order.Endpoint.ID)
	p.Done(later, resultOf(order, loading.Accepted))
	_, ok := p.Next(later.Add(time.Millisecond))
	assert.False(t, ok, "the copy is being loaded")
	p.Done(later, resultOf(nextOrder(t, p, p.NextPoll(), loading.Load), loading.Holds))
	_, ok = p.Next(later.Add(time.Second))
	assert.False(t, ok, "the copy is resident")
}

func TestNoCopyIsLoadedAtOtherSoftware(t *testing.T) {
	p := pinnedFleet(t)
	p.Report(start, "i", pinnedDemand(adapter(1), "v3"))
	assertNoOrder(t, p, "no endpoint has this software")
	p.Report(start, "i", pinnedDemand(adapter(1), "v1"))
	assertNoOrder(t, p, "an endpoint of this software holds the adapter")

	p.Report(start, "i", pinnedDemand(adapter(1), "v2"))
	p.ForgetInstance("i")
	assertNoOrder(t, p, "the instance is gone")
}

// TestDemandForOneSoftwareIsReplacedByNextReport also covers a report that lists the same demand twice.
func TestDemandForOneSoftwareIsReplacedByNextReport(t *testing.T) {
	p := pinnedFleet(t)
	p.Report(start, "i", append(pinnedDemand(adapter(1), "v2"), pinnedDemand(adapter(1), "v2")...))
	p.Report(start, "i", nil)
	assertNoOrder(t, p, "the requests do not wait any more")
}

// TestCopyForOneSoftwareUsesBusyEndpoints checks that streams that go on get a copy at an endpoint that receives no other copies,
// since no other may be left, but not at one that would not take them.
func TestCopyForOneSoftwareUsesBusyEndpoints(t *testing.T) {
	p := pinnedFleet(t)
	p.SetSaturation("wanted", true, true)
	p.SetFull("wanted", true)
	p.Report(start, "i", pinnedDemand(adapter(1), "v2"))
	assertNoOrder(t, p, "the endpoint takes no request")
	p.SetFull("wanted", false)
	later := start.Add(2 * time.Second)
	assert.Equal(t, deployment.EndpointID("wanted"), nextOrder(t, p, later, loading.Load).Endpoint.ID)

	p = pinnedFleet(t)
	p.SetSaturation("holder", true, true)
	p.Report(start, "i", pinnedDemand(adapter(1), "v1"))
	assertNoOrder(t, p, "the copy still takes requests that only this software may run")
	p.SetFull("holder", true)
	assert.Equal(t, deployment.EndpointID("other"), nextOrder(t, p, later, loading.Load).Endpoint.ID)
}

// TestCopyForOneSoftwareIsLoadedFirst checks that a stream that goes on gets its copy before a request that has just arrived, also where the
// latter's copy is worth more by the requests that are expected to follow.
func TestCopyForOneSoftwareIsLoadedFirst(t *testing.T) {
	p := pinnedFleet(t)
	p.Report(start, "i", append(waitingDemand(adapter(2)), pinnedDemand(adapter(1), "v2")...))
	p.Report(start, "j", waitingDemand(adapter(2)))
	order := nextOrder(t, p, start, loading.Load)
	assert.Equal(t, adapter(1), order.Adapter)
	assert.Equal(t, deployment.EndpointID("wanted"), order.Endpoint.ID)
	assert.Equal(t, adapter(2), nextOrder(t, p, start, loading.Load).Adapter)
}

// TestCopiesForOneSoftwareNeedPlaces checks that these loads keep to the places of their endpoint and to its loads at once.
func TestCopiesForOneSoftwareNeedPlaces(t *testing.T) {
	p := pinnedFleet(t)
	var demands []loading.Demand
	for number := range 2 * engine.AdapterCapacity {
		demands = append(demands, pinnedDemand(adapter(10+number), "v2")...)
	}
	p.Report(start, "i", demands)
	for range 2 {
		p.Done(start, resultOf(nextOrder(t, p, start, loading.Load), loading.Accepted))
	}
	_, ok := p.Next(start)
	assert.False(t, ok, "two loads at once")
}

// TestCopyAwaitedAtItsSoftwareIsNotEvicted fills an endpoint whose least used copy is the one that a stream waits for.
func TestCopyAwaitedAtItsSoftwareIsNotEvicted(t *testing.T) {
	for software, evicted := range map[string]bool{"v1": false, "v2": true} {
		p := newPlanner(1)
		held := []deployment.Adapter{adapter(1), adapter(2), adapter(3), adapter(4)}
		p.SetEndpoint(start, describedSoftware("e", "v1", held...), nextRevision(), false)
		answerInspection(t, p, start, &loading.Report{Adapters: described("", held...).Adapters})
		for _, used := range held[1:] {
			p.AddArrivals(start, []loading.Demand{{Adapter: used, Arrivals: 1}})
		}
		p.Report(start, "i", pinnedDemand(adapter(1), software))
		_, ok := p.Next(start.Add(time.Second))
		require.False(t, ok, "the endpoint has no place")
		_, offered := p.Offered("e")
		require.Len(t, offered, len(held)-1, "a copy is withdrawn, so that a place becomes free")
		_, kept := offered[adapter(1)]
		assert.Equal(t, evicted, !kept, software)
	}
}

// TestBacklogIncludesCopiesForOneSoftware checks that the forecast counts the loads that have yet to begin, but announces none of them: a
// forecast does not tell the software.
func TestBacklogIncludesCopiesForOneSoftware(t *testing.T) {
	p := newPlanner(1)
	p.Report(start, "i", append(waitingDemand(adapter(1)), pinnedDemand(adapter(1), "v2")...))
	list, backlog := p.Forecasts(start)
	assert.Len(t, list, 1)
	assert.Equal(t, 3*250*time.Millisecond, backlog, "two loads are ahead, one at a time")
}
