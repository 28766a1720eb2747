// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter = deployment.Adapter{Model: "base", Name: "a1"}
	options = balance.Options{Hall: "near", HallPenalty: 1, PlainHallPenalty: 2.5, Random: func() float64 { return 0 }}
)

func newDirectory(endpoints ...deployment.Endpoint) *directory.Directory {
	d := directory.New()
	for _, endpoint := range endpoints {
		endpoint.Service = "service"
		d.Put(endpoint, 1)
	}
	return d
}

func endpointWithAdapter(id, hall string) deployment.Endpoint {
	return deployment.Endpoint{
		ID: deployment.EndpointID(id), Hall: hall, Models: []string{"base"}, Adapters: map[deployment.Adapter]int64{adapter: 1},
	}
}

func choose(d *directory.Directory, required balance.Requirement) (*directory.EndpointStatus, balance.Verdict) {
	return balance.Choose(start, d.Service("service"), required, options)
}

func TestChooseRequiresAdapter(t *testing.T) {
	d := newDirectory(endpointWithAdapter("far", "other"), deployment.Endpoint{ID: "empty", Hall: "near", Models: []string{"base"}})
	endpoint, verdict := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	require.Equal(t, balance.Chosen, verdict)
	assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
}

func TestVerdictsWithoutChosenEndpoint(t *testing.T) {
	_, verdict := choose(newDirectory(), balance.Requirement{Request: &deployment.Request{}})
	assert.Equal(t, balance.NoEndpoint, verdict)
	leaving := endpointWithAdapter("leaving", "near")
	leaving.State = deployment.Draining
	_, verdict = choose(newDirectory(leaving), balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	assert.Equal(t, balance.NoEndpoint, verdict)
	_, verdict = choose(newDirectory(endpointWithAdapter("old", "near")), balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 2})
	assert.Equal(t, balance.NotResident, verdict)
}

func TestChoosePrefersLeastLoadedCountingOtherInstances(t *testing.T) {
	d := newDirectory(endpointWithAdapter("a", "near"), endpointWithAdapter("b", "near"))
	d.Endpoint("a").OthersRequests = 3
	d.Begin(start, "b", &deployment.Request{Adapter: adapter})
	endpoint, _ := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	assert.Equal(t, deployment.EndpointID("b"), endpoint.ID)
}

func TestChoosePrefersOwnHallUntilBusier(t *testing.T) {
	d := newDirectory(endpointWithAdapter("near", "near"), endpointWithAdapter("far", "other"))
	request := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	endpoint, _ := choose(d, request)
	assert.Equal(t, deployment.EndpointID("near"), endpoint.ID)
	d.Endpoint("near").OthersRequests = 2
	endpoint, _ = choose(d, request)
	assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
}

func TestChooseSkipsTriedEndpoints(t *testing.T) {
	d := newDirectory(endpointWithAdapter("a", "near"))
	endpoint, _ := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Tried: []deployment.EndpointID{"a"}})
	assert.Nil(t, endpoint)
}

// TestResumedStreamIgnoresTriedAndSaturated resumes a stream at its own endpoint: it is chosen although it was tried and is
// saturated, and no other endpoint is chosen instead.
func TestResumedStreamIgnoresTriedAndSaturated(t *testing.T) {
	full := endpointWithAdapter("full", "near")
	full.Slots = 20
	d := newDirectory(full, endpointWithAdapter("free", "near"))
	d.Endpoint("full").OthersRequests = 20
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter, OnlyEndpoint: "full"}, Tried: []deployment.EndpointID{"full"}}
	endpoint, verdict := choose(d, required)
	require.Equal(t, balance.Chosen, verdict)
	assert.Equal(t, deployment.EndpointID("full"), endpoint.ID)
	required.Request = &deployment.Request{Adapter: adapter, OnlyEndpoint: "gone"}
	_, verdict = choose(d, required)
	assert.Equal(t, balance.NoEndpoint, verdict)
}

func TestEjectedEndpointIsLastResort(t *testing.T) {
	d := newDirectory(endpointWithAdapter("bad", "near"), endpointWithAdapter("good", "other"))
	for range 3 {
		d.Begin(start, "bad", &deployment.Request{Adapter: adapter})
		d.End(start, "bad", adapter, directory.Broken)
	}
	request := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	endpoint, _ := choose(d, request)
	assert.Equal(t, deployment.EndpointID("good"), endpoint.ID)
	d.Remove("good", 2)
	endpoint, _ = choose(d, request)
	assert.Equal(t, deployment.EndpointID("bad"), endpoint.ID)
}

func TestChooseBackendByWeight(t *testing.T) {
	route := &deployment.Route{Backends: []deployment.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, "a", balance.ChooseBackend(route, 0))
	assert.Equal(t, "a", balance.ChooseBackend(route, 0.89))
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.91))
	assert.Equal(t, "b", balance.ChooseBackend(route, 1))
	assert.Empty(t, balance.ChooseBackend(&deployment.Route{}, 0.5))
}

func TestSaturatedEndpointIsNotChosen(t *testing.T) {
	full := endpointWithAdapter("full", "near")
	full.Slots = 4
	d := newDirectory(full)
	bounded := options
	bounded.Limit.Share = 0.5
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	d.Endpoint("full").OthersRequests = 1
	_, verdict := balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Chosen, verdict)
	d.Endpoint("full").OthersRequests = 2
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Saturated, verdict)
	bounded.Limit.Min = 3
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Chosen, verdict, "the minimum limit applies to small batches")
	d.Endpoint("full").OthersRequests = 3
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Saturated, verdict)
	plain := balance.Requirement{Request: &deployment.Request{}}
	_, verdict = balance.Choose(start, d.Service("service"), plain, bounded)
	assert.Equal(t, balance.Chosen, verdict, "the limit does not apply to plain services")
}

// TestEndpointUnreachableForOthersIsNotChosen guards against each instance finding out by itself that an endpoint is unreachable:
// after a crash of a quarter of the endpoints, each of 195 instances sent requests to each of these endpoints for the 3 s in which
// the store still listed them, and 246 requests were refused.
func TestEndpointUnreachableForOthersIsNotChosen(t *testing.T) {
	d := newDirectory(endpointWithAdapter("dead", "h1"), endpointWithAdapter("alive", "h1"))
	request := &deployment.Request{Adapter: adapter, Service: "s"}
	d.Endpoint("dead").Unreachable = true
	for range 20 {
		chosen, _ := choose(d, balance.Requirement{Request: request})
		require.NotNil(t, chosen)
		assert.EqualValues(t, "alive", chosen.ID)
	}
	d.Endpoint("alive").Unreachable = true
	chosen, verdict := choose(d, balance.Requirement{Request: request})
	assert.Nil(t, chosen)
	assert.Equal(t, balance.NotResident, verdict, "the request must wait for another copy")

	for range 2 {
		d.Begin(start, "dead", request)
		d.End(start, "dead", adapter, directory.Unreachable)
	}
	chosen, _ = choose(d, balance.Requirement{Request: request})
	require.NotNil(t, chosen)
	assert.EqualValues(t, "dead", chosen.ID, "an instance that failed to connect itself applies its own ejection rule")
}
