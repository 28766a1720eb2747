// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// endpointWithSoftware returns an endpoint that holds the adapter and has 20 slots.
func endpointWithSoftware(id, software string) deployment.Endpoint {
	endpoint := endpointWithAdapter(id, "near")
	endpoint.Software, endpoint.Slots = software, 20
	return endpoint
}

// chooseSoftware chooses an endpoint with the limits of an instance for a request that only one software may run.
func chooseSoftware(d *directory.Directory, software string, tried ...deployment.EndpointID) (*directory.EndpointStatus, balance.Verdict) {
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter, Software: software}, Bound: software != "", Tried: tried}
	return balance.Choose(start, d.Service("service"), required, balance.NewOptions("near", options.Random))
}

func TestRequestForOneSoftwareRunsNowhereElse(t *testing.T) {
	d := newDirectory(endpointWithSoftware("unknown", ""), endpointWithSoftware("other", "v2"), endpointWithSoftware("same", "v1"))
	d.Endpoint("same").OthersRequests = 5
	chosen, verdict := chooseSoftware(d, "v1")
	require.Equal(t, balance.Chosen, verdict)
	assert.Equal(t, deployment.EndpointID("same"), chosen.ID, "although the others have fewer requests")

	_, verdict = chooseSoftware(d, "v1", "same")
	assert.Equal(t, balance.NoEndpoint, verdict, "it was tried")
	_, verdict = chooseSoftware(d, "v3")
	assert.Equal(t, balance.NoEndpoint, verdict)

	d.SetCopy("same", adapter, 0)
	_, verdict = chooseSoftware(d, "v1")
	assert.Equal(t, balance.NotResident, verdict, "the other software's copy is no use")
}

func TestOnlyEndpointMustRunTheSoftware(t *testing.T) {
	d := newDirectory(endpointWithSoftware("e", "v1"))
	for software, expected := range map[string]balance.Verdict{"v1": balance.Chosen, "v2": balance.NoEndpoint} {
		required := balance.Requirement{Request: &deployment.Request{Adapter: adapter, OnlyEndpoint: "e", Software: software}}
		_, verdict := choose(d, required)
		assert.Equal(t, expected, verdict, software)
	}
}

// TestRequestForOneSoftwareUsesAllSlots checks that a stream finds room to go on where other requests would find none.
func TestRequestForOneSoftwareUsesAllSlots(t *testing.T) {
	for load, expected := range map[int]struct{ any, pinned balance.Verdict }{
		12: {balance.Chosen, balance.Chosen},
		13: {balance.Saturated, balance.Chosen},
		19: {balance.Saturated, balance.Chosen},
		20: {balance.Saturated, balance.Saturated},
	} {
		d := newDirectory(endpointWithSoftware("e", "v1"))
		d.Endpoint("e").OthersRequests = load
		_, verdict := chooseSoftware(d, "")
		assert.Equal(t, expected.any, verdict, "%d in flight", load)
		_, verdict = chooseSoftware(d, "v1")
		assert.Equal(t, expected.pinned, verdict, "%d in flight, one software", load)
		alone := balance.Requirement{Request: &deployment.Request{Adapter: adapter, Software: "v1"}}
		_, verdict = balance.Choose(start, d.Service("service"), alone, balance.NewOptions("near", options.Random))
		assert.Equal(t, expected.any, verdict, "%d in flight, the only software", load)
	}
}
