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
)

func TestSlotLimitReached(t *testing.T) {
	for name, test := range map[string]struct {
		slots, minLimit, load int
		share                 float64
		full                  bool
	}{
		"just below the share":         {100, 12, 64, 0.65, false},
		"at the share":                 {100, 12, 65, 0.65, true},
		"above the share":              {100, 12, 66, 0.65, true},
		"below a fractional share":     {64, 12, 41, 0.65, false},
		"above a fractional share":     {64, 12, 42, 0.65, true},
		"few slots, below the minimum": {16, 12, 11, 0.65, false},
		"few slots, at the minimum":    {16, 12, 12, 0.65, true},
		"fewer slots than the minimum": {8, 12, 7, 0.65, false},
		"all slots in use":             {8, 12, 8, 0.65, true},
		"unknown number of slots":      {0, 12, 1000, 0.65, false},
		"limit of zero, no load":       {4, 0, 0, 0, true},
		"no load":                      {100, 12, 0, 0.65, false},
		"negative count":               {100, 12, -1, 0.65, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := endpointWithAdapter("e", "near")
			endpoint.Slots = test.slots
			d := newDirectory(endpoint)
			d.Endpoint("e").OthersRequests = test.load
			assert.Equal(t, test.full, balance.SlotLimit{Share: test.share, Min: test.minLimit}.Reached(d.Endpoint("e")))
		})
	}
}

// TestDefaultSlotLimits checks limits of 0.5 of the slots and 10 for copies, 0.65 and 12 for requests.
func TestDefaultSlotLimits(t *testing.T) {
	for name, test := range map[string]struct {
		limit             balance.SlotLimit
		slots, limitValue int
	}{
		"copies":                            {balance.CopyLimit(), 100, 50},
		"copies, few slots":                 {balance.CopyLimit(), 16, 10},
		"copies, fewer slots":               {balance.CopyLimit(), 8, 8},
		"requests":                          {balance.RequestLimit(), 100, 65},
		"requests, few slots":               {balance.RequestLimit(), 16, 12},
		"requests, fewer slots":             {balance.RequestLimit(), 8, 8},
		"requests, options of a choice":     {balance.NewOptions("near", nil).Limit, 100, 65},
		"requests, share above the minimum": {balance.RequestLimit(), 20, 13},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := endpointWithAdapter("e", "near")
			endpoint.Slots = test.slots
			d := newDirectory(endpoint)
			for load, reached := range map[int]bool{test.limitValue - 1: false, test.limitValue: true, test.limitValue + 1: true} {
				d.Endpoint("e").OthersRequests = load
				assert.Equal(t, reached, test.limit.Reached(d.Endpoint("e")), "%d in flight", load)
			}
		})
	}
}

func TestDefaultHallPenalties(t *testing.T) {
	defaults := balance.NewOptions("near", options.Random)
	defaults.Limit = options.Limit
	assert.Equal(t, options.HallPenalty, defaults.HallPenalty)
	assert.Equal(t, options.PlainHallPenalty, defaults.PlainHallPenalty)
	assert.Equal(t, "near", defaults.Hall)
}

// TestHallPenaltyLimits checks that crossing halls costs 1 request for models and 2.5 for plain services.
func TestHallPenaltyLimits(t *testing.T) {
	model := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	plain := balance.Requirement{Request: &deployment.Request{}}
	for name, test := range map[string]struct {
		required  balance.Requirement
		near, far int
		chosen    deployment.EndpointID
	}{
		"model, equal load":             {model, 1, 1, "near"},
		"model, one more in own hall":   {model, 1, 0, "near"},
		"model, two more in own hall":   {model, 2, 0, "far"},
		"plain, two more in own hall":   {plain, 2, 0, "near"},
		"plain, three more in own hall": {plain, 3, 0, "far"},
		"plain, high load in both":      {plain, 102, 100, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(endpointWithAdapter("near", "near"), endpointWithAdapter("far", "other"))
			d.Endpoint("near").OthersRequests, d.Endpoint("far").OthersRequests = test.near, test.far
			endpoint, verdict := choose(d, test.required)
			require.Equal(t, balance.Chosen, verdict)
			assert.Equal(t, test.chosen, endpoint.ID)
		})
	}
}

func TestRandomDrawBreaksOnlyTies(t *testing.T) {
	random := 0.999
	randomOptions := options
	randomOptions.Random = func() float64 { return random }
	d := newDirectory(endpointWithAdapter("a", "near"), endpointWithAdapter("b", "near"))
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	endpoint, _ := balance.Choose(start, d.Service("service"), required, randomOptions)
	assert.Equal(t, deployment.EndpointID("b"), endpoint.ID)
	random = 0
	endpoint, _ = balance.Choose(start, d.Service("service"), required, randomOptions)
	assert.Equal(t, deployment.EndpointID("a"), endpoint.ID)
	for _, random = range []float64{0, 0.5, 0.999} {
		d.Endpoint("b").OthersRequests = 1
		endpoint, _ = balance.Choose(start, d.Service("service"), required, randomOptions)
		assert.Equal(t, deployment.EndpointID("a"), endpoint.ID, "one request more must always decide")
	}
}

// TestCurrentCountsDecideFromHalfARequest uses the cost of 2.5 requests for crossing halls with a plain service: whatever the random
// number, two requests in the own hall cost less than none in the other, and three cost more.
func TestCurrentCountsDecideFromHalfARequest(t *testing.T) {
	plain := balance.Requirement{Request: &deployment.Request{}}
	for _, endpoints := range [][]deployment.Endpoint{{endpointWithAdapter("near", "near"), endpointWithAdapter("far", "other")}, {endpointWithAdapter("far", "other"), endpointWithAdapter("near", "near")}} {
		for _, random := range []float64{0, 0.5, 0.999} {
			randomOptions := options
			randomOptions.Random = func() float64 { return random }
			d := newDirectory(endpoints...)
			d.Endpoint("near").OthersRequests = 2
			endpoint, _ := balance.Choose(start, d.Service("service"), plain, randomOptions)
			assert.Equal(t, deployment.EndpointID("near"), endpoint.ID)
			d.Endpoint("near").OthersRequests = 3
			endpoint, _ = balance.Choose(start, d.Service("service"), plain, randomOptions)
			assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
		}
	}
}

// TestChooseByHeldAdapterVersion covers unknown adapters, old versions, and copies that the endpoint reported as missing.
func TestChooseByHeldAdapterVersion(t *testing.T) {
	unknown := deployment.Adapter{Model: "base", Name: "unknown"}
	for name, test := range map[string]struct {
		required balance.Requirement
		missing  time.Duration
		verdict  balance.Verdict
	}{
		"any version":                      {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, -1, balance.Chosen},
		"the version it holds":             {balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 1}, -1, balance.Chosen},
		"a newer version":                  {balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 2}, -1, balance.NotResident},
		"an unknown adapter":               {balance.Requirement{Request: &deployment.Request{Adapter: unknown}}, -1, balance.NotResident},
		"the base model alone":             {balance.Requirement{Request: &deployment.Request{Adapter: deployment.Adapter{Model: "base"}}}, -1, balance.Chosen},
		"another base model":               {balance.Requirement{Request: &deployment.Request{Adapter: deployment.Adapter{Model: "other"}}}, -1, balance.NotResident},
		"reported missing just now":        {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 0, balance.NotResident},
		"reported missing 1.5 s ago":       {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 1500 * time.Millisecond, balance.NotResident},
		"reported missing longer ago":      {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 1500*time.Millisecond + 1, balance.Chosen},
		"a plain request needs no adapter": {balance.Requirement{Request: &deployment.Request{}}, 0, balance.Chosen},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(endpointWithAdapter("e", "near"))
			if test.missing >= 0 {
				d.MarkMissing(start.Add(-test.missing), "e", adapter)
			}
			_, verdict := choose(d, test.required)
			assert.Equal(t, test.verdict, verdict)
		})
	}
}

// TestVerdictNamesMostSuitableEndpoint has one endpoint without the adapter and one that is saturated.
func TestVerdictNamesMostSuitableEndpoint(t *testing.T) {
	full := endpointWithAdapter("full", "near")
	full.Slots = 4
	bounded := options
	bounded.Limit.Share = 0.5
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	for _, endpoints := range [][]deployment.Endpoint{
		{full, {ID: "empty", Hall: "near", Models: []string{"base"}}}, {{ID: "empty", Hall: "near", Models: []string{"base"}}, full},
	} {
		d := newDirectory(endpoints...)
		d.Endpoint("full").OthersRequests = 2
		_, verdict := balance.Choose(start, d.Service("service"), required, bounded)
		assert.Equal(t, balance.Saturated, verdict)
	}
}

func TestChooseBackendWeightLimits(t *testing.T) {
	route := &deployment.Route{Backends: []deployment.Backend{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	assert.Equal(t, "a", balance.ChooseBackend(route, 0.4999))
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.5), "a backend without weight gets no requests")
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.5001))
	weightless := &deployment.Route{Backends: []deployment.Backend{{Service: "a"}, {Service: "b"}}}
	assert.Equal(t, "b", balance.ChooseBackend(weightless, 0))
}
