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

func build(endpoints ...deployment.Endpoint) *directory.Directory {
	d := directory.New()
	for _, endpoint := range endpoints {
		endpoint.Service = "service"
		d.Put(endpoint, 1)
	}
	return d
}

func holder(id, hall string) deployment.Endpoint {
	return deployment.Endpoint{
		ID: deployment.EndpointID(id), Hall: hall, Models: []string{"base"}, Adapters: map[deployment.Adapter]int64{adapter: 1},
	}
}

func choose(d *directory.Directory, required balance.Requirement) (*directory.EndpointStatus, balance.Verdict) {
	return balance.Choose(start, d.Service("service"), required, options)
}

func TestOnlyEndpointsThatHoldTheAdapterAreChosen(t *testing.T) {
	d := build(holder("far", "other"), deployment.Endpoint{ID: "empty", Hall: "near", Models: []string{"base"}})
	endpoint, verdict := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	require.Equal(t, balance.Chosen, verdict)
	assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
}

func TestVerdictsTellWhyNoneWasChosen(t *testing.T) {
	_, verdict := choose(build(), balance.Requirement{Request: &deployment.Request{}})
	assert.Equal(t, balance.NoEndpoint, verdict)
	leaving := holder("leaving", "near")
	leaving.State = deployment.Draining
	_, verdict = choose(build(leaving), balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	assert.Equal(t, balance.NoEndpoint, verdict)
	_, verdict = choose(build(holder("old", "near")), balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 2})
	assert.Equal(t, balance.NotResident, verdict)
}

func TestTheLeastLoadedIsChosenAndOthersRequestsCount(t *testing.T) {
	d := build(holder("a", "near"), holder("b", "near"))
	d.Endpoint("a").OthersRequests = 3
	d.Begin(start, "b", &deployment.Request{Adapter: adapter})
	endpoint, _ := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}})
	assert.Equal(t, deployment.EndpointID("b"), endpoint.ID)
}

func TestTheOwnHallIsPreferredUntilItIsBusier(t *testing.T) {
	d := build(holder("near", "near"), holder("far", "other"))
	request := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	endpoint, _ := choose(d, request)
	assert.Equal(t, deployment.EndpointID("near"), endpoint.ID)
	d.Endpoint("near").OthersRequests = 2
	endpoint, _ = choose(d, request)
	assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
}

func TestTriedEndpointsAreNotChosenAgain(t *testing.T) {
	d := build(holder("a", "near"))
	endpoint, _ := choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Tried: []deployment.EndpointID{"a"}})
	assert.Nil(t, endpoint)
}

// TestAStreamThatGoesOnInPlaceTakesThePlaceThatItHad: neither that its endpoint was tried nor that it is full by now keeps it out, and
// nothing else takes it.
func TestAStreamThatGoesOnInPlaceTakesThePlaceThatItHad(t *testing.T) {
	full := holder("full", "near")
	full.Slots = 20
	d := build(full, holder("free", "near"))
	d.Endpoint("full").OthersRequests = 20
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter, OnlyEndpoint: "full"}, Tried: []deployment.EndpointID{"full"}}
	endpoint, verdict := choose(d, required)
	require.Equal(t, balance.Chosen, verdict)
	assert.Equal(t, deployment.EndpointID("full"), endpoint.ID)
	required.Request = &deployment.Request{Adapter: adapter, OnlyEndpoint: "gone"}
	_, verdict = choose(d, required)
	assert.Equal(t, balance.NoEndpoint, verdict)
}

func TestEjectedEndpointsServeOnlyWhereNothingElseCan(t *testing.T) {
	d := build(holder("bad", "near"), holder("good", "other"))
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

func TestBackendsAreChosenByWeight(t *testing.T) {
	route := &deployment.Route{Backends: []deployment.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, "a", balance.ChooseBackend(route, 0))
	assert.Equal(t, "a", balance.ChooseBackend(route, 0.89))
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.91))
	assert.Equal(t, "b", balance.ChooseBackend(route, 1))
	assert.Empty(t, balance.ChooseBackend(&deployment.Route{}, 0.5))
}

func TestAFullEndpointGetsNoMoreRequests(t *testing.T) {
	full := holder("full", "near")
	full.Slots = 4
	d := build(full)
	bounded := options
	bounded.Limit.Share = 0.5
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	d.Endpoint("full").OthersRequests = 1
	_, verdict := balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Chosen, verdict)
	d.Endpoint("full").OthersRequests = 2
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Saturated, verdict)
	bounded.Limit.Least = 3
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Chosen, verdict, "a batch this small is fast enough")
	d.Endpoint("full").OthersRequests = 3
	_, verdict = balance.Choose(start, d.Service("service"), required, bounded)
	assert.Equal(t, balance.Saturated, verdict)
	plain := balance.Requirement{Request: &deployment.Request{}}
	_, verdict = balance.Choose(start, d.Service("service"), plain, bounded)
	assert.Equal(t, balance.Chosen, verdict, "a plain service has a queue of its own")
}

// TestAnEndpointThatRefusesOthersGetsNoRequests: after a crash of a quarter of the endpoints each of 195 instances sent requests to each of
// them until it had found out for itself, for the 3 s in which the store still named them: 246 requests were refused.
func TestAnEndpointThatRefusesOthersGetsNoRequests(t *testing.T) {
	d := build(holder("dead", "h1"), holder("alive", "h1"))
	request := &deployment.Request{Adapter: adapter, Service: "s"}
	d.Endpoint("dead").Unreached = true
	for range 20 {
		chosen, _ := choose(d, balance.Requirement{Request: request})
		require.NotNil(t, chosen)
		assert.EqualValues(t, "alive", chosen.ID)
	}
	d.Endpoint("alive").Unreached = true
	chosen, verdict := choose(d, balance.Requirement{Request: request})
	assert.Nil(t, chosen)
	assert.Equal(t, balance.NotResident, verdict, "another copy is worth waiting for")

	for range 2 {
		d.Begin(start, "dead", request)
		d.End(start, "dead", adapter, directory.Unreached)
	}
	chosen, _ = choose(d, balance.Requirement{Request: request})
	require.NotNil(t, chosen)
	assert.EqualValues(t, "dead", chosen.ID, "one that found out itself tries it by its own rule")
}
