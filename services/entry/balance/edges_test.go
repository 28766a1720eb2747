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

func TestEdgesOfAFullEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		slots, smallBatch, load int
		share                   float64
		full                    bool
	}{
		"just below the share":              {100, 12, 64, 0.65, false},
		"at the share":                      {100, 12, 65, 0.65, true},
		"above the share":                   {100, 12, 66, 0.65, true},
		"below a share that is no integer":  {64, 12, 41, 0.65, false},
		"above a share that is no integer":  {64, 12, 42, 0.65, true},
		"few slots, below the small batch":  {16, 12, 11, 0.65, false},
		"few slots, at the small batch":     {16, 12, 12, 0.65, true},
		"fewer slots than the small batch":  {8, 12, 7, 0.65, false},
		"all of the few slots":              {8, 12, 8, 0.65, true},
		"number of slots not known":         {0, 12, 1000, 0.65, false},
		"no bound set, and nothing to do":   {4, 0, 0, 0, true},
		"nothing to do":                     {100, 12, 0, 0.65, false},
		"counts of others that are too low": {100, 12, -1, 0.65, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := holder("e", "near")
			endpoint.Slots = test.slots
			d := build(endpoint)
			d.Endpoint("e").OthersRequests = test.load
			assert.Equal(t, test.full, balance.SlotLimit{Share: test.share, Least: test.smallBatch}.Reached(d.Endpoint("e")))
		})
	}
}

// TestEdgesOfTheBoundsInForce: 0.5 of the slots and 10 for copies, 0.65 and 12 for requests.
func TestEdgesOfTheBoundsInForce(t *testing.T) {
	for name, test := range map[string]struct {
		limit        balance.SlotLimit
		slots, bound int
	}{
		"copies":                 {balance.CopyLimit(), 100, 50},
		"copies, few slots":      {balance.CopyLimit(), 16, 10},
		"copies, fewer slots":    {balance.CopyLimit(), 8, 8},
		"requests":               {balance.RequestLimit(), 100, 65},
		"requests, few slots":    {balance.RequestLimit(), 16, 12},
		"requests, fewer slots":  {balance.RequestLimit(), 8, 8},
		"requests, of a choice":  {balance.NewOptions("near", nil).Limit, 100, 65},
		"requests, share counts": {balance.RequestLimit(), 20, 13},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := holder("e", "near")
			endpoint.Slots = test.slots
			d := build(endpoint)
			for load, reached := range map[int]bool{test.bound - 1: false, test.bound: true, test.bound + 1: true} {
				d.Endpoint("e").OthersRequests = load
				assert.Equal(t, reached, test.limit.Reached(d.Endpoint("e")), "%d in flight", load)
			}
		})
	}
}

func TestTheWeightsOfHallsInForce(t *testing.T) {
	inForce := balance.NewOptions("near", options.Random)
	inForce.Limit = options.Limit
	assert.Equal(t, options.HallPenalty, inForce.HallPenalty)
	assert.Equal(t, options.PlainHallPenalty, inForce.PlainHallPenalty)
	assert.Equal(t, "near", inForce.Hall)
}

// TestEdgesOfPreferringTheOwnHall: crossing halls weighs 1 request for models and 2.5 for plain services.
func TestEdgesOfPreferringTheOwnHall(t *testing.T) {
	model := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	plain := balance.Requirement{Request: &deployment.Request{}}
	for name, test := range map[string]struct {
		required  balance.Requirement
		near, far int
		chosen    deployment.EndpointID
	}{
		"model, as much to do":      {model, 1, 1, "near"},
		"model, one more here":      {model, 1, 0, "near"},
		"model, two more here":      {model, 2, 0, "far"},
		"plain, two more here":      {plain, 2, 0, "near"},
		"plain, three more here":    {plain, 3, 0, "far"},
		"plain, much to do in both": {plain, 102, 100, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			d := build(holder("near", "near"), holder("far", "other"))
			d.Endpoint("near").OthersRequests, d.Endpoint("far").OthersRequests = test.near, test.far
			endpoint, verdict := choose(d, test.required)
			require.Equal(t, balance.Chosen, verdict)
			assert.Equal(t, test.chosen, endpoint.ID)
		})
	}
}

func TestChanceBreaksOnlyTies(t *testing.T) {
	random := 0.999
	chance := options
	chance.Random = func() float64 { return random }
	d := build(holder("a", "near"), holder("b", "near"))
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	endpoint, _ := balance.Choose(start, d.Service("service"), required, chance)
	assert.Equal(t, deployment.EndpointID("b"), endpoint.ID)
	random = 0
	endpoint, _ = balance.Choose(start, d.Service("service"), required, chance)
	assert.Equal(t, deployment.EndpointID("a"), endpoint.ID)
	for _, random = range []float64{0, 0.5, 0.999} {
		d.Endpoint("b").OthersRequests = 1
		endpoint, _ = balance.Choose(start, d.Service("service"), required, chance)
		assert.Equal(t, deployment.EndpointID("a"), endpoint.ID, "one request more always counts")
	}
}

// TestYoungCountsDecideFromHalfARequestOn: crossing halls for a plain service weighs 2.5 requests, so that whatever chance draws, two
// requests here weigh less than none there, and three weigh more.
func TestYoungCountsDecideFromHalfARequestOn(t *testing.T) {
	plain := balance.Requirement{Request: &deployment.Request{}}
	for _, endpoints := range [][]deployment.Endpoint{{holder("near", "near"), holder("far", "other")}, {holder("far", "other"), holder("near", "near")}} {
		for _, random := range []float64{0, 0.5, 0.999} {
			chance := options
			chance.Random = func() float64 { return random }
			d := build(endpoints...)
			d.Endpoint("near").OthersRequests = 2
			endpoint, _ := balance.Choose(start, d.Service("service"), plain, chance)
			assert.Equal(t, deployment.EndpointID("near"), endpoint.ID)
			d.Endpoint("near").OthersRequests = 3
			endpoint, _ = balance.Choose(start, d.Service("service"), plain, chance)
			assert.Equal(t, deployment.EndpointID("far"), endpoint.ID)
		}
	}
}

// TestEdgesOfWhatAnEndpointHolds goes through unknown, old and refuted copies.
func TestEdgesOfWhatAnEndpointHolds(t *testing.T) {
	unknown := deployment.Adapter{Model: "base", Name: "unknown"}
	for name, test := range map[string]struct {
		required balance.Requirement
		missing  time.Duration
		verdict  balance.Verdict
	}{
		"any version":                     {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, -1, balance.Chosen},
		"the version it holds":            {balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 1}, -1, balance.Chosen},
		"a newer version":                 {balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Version: 2}, -1, balance.NotResident},
		"an unknown adapter":              {balance.Requirement{Request: &deployment.Request{Adapter: unknown}}, -1, balance.NotResident},
		"the base model alone":            {balance.Requirement{Request: &deployment.Request{Adapter: deployment.Adapter{Model: "base"}}}, -1, balance.Chosen},
		"another base model":              {balance.Requirement{Request: &deployment.Request{Adapter: deployment.Adapter{Model: "other"}}}, -1, balance.NotResident},
		"said just now that it lacks it":  {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 0, balance.NotResident},
		"said 1.5 s ago that it lacks it": {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 1500 * time.Millisecond, balance.NotResident},
		"said it longer ago":              {balance.Requirement{Request: &deployment.Request{Adapter: adapter}}, 1500*time.Millisecond + 1, balance.Chosen},
		"a plain request asks for none":   {balance.Requirement{Request: &deployment.Request{}}, 0, balance.Chosen},
	} {
		t.Run(name, func(t *testing.T) {
			d := build(holder("e", "near"))
			if test.missing >= 0 {
				d.MarkMissing(start.Add(-test.missing), "e", adapter)
			}
			_, verdict := choose(d, test.required)
			assert.Equal(t, test.verdict, verdict)
		})
	}
}

// TestTheVerdictNamesWhatIsNearestToAChoice has one endpoint that lacks the adapter and one that is full.
func TestTheVerdictNamesWhatIsNearestToAChoice(t *testing.T) {
	full := holder("full", "near")
	full.Slots = 4
	bounded := options
	bounded.Limit.Share = 0.5
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}}
	for _, endpoints := range [][]deployment.Endpoint{
		{full, {ID: "empty", Hall: "near", Models: []string{"base"}}}, {{ID: "empty", Hall: "near", Models: []string{"base"}}, full},
	} {
		d := build(endpoints...)
		d.Endpoint("full").OthersRequests = 2
		_, verdict := balance.Choose(start, d.Service("service"), required, bounded)
		assert.Equal(t, balance.Saturated, verdict)
	}
}

func TestEdgesOfABackendsWeight(t *testing.T) {
	route := &deployment.Route{Backends: []deployment.Backend{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	assert.Equal(t, "a", balance.ChooseBackend(route, 0.4999))
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.5), "one without weight gets nothing")
	assert.Equal(t, "b", balance.ChooseBackend(route, 0.5001))
	weightless := &deployment.Route{Backends: []deployment.Backend{{Service: "a"}, {Service: "b"}}}
	assert.Equal(t, "b", balance.ChooseBackend(weightless, 0))
}
