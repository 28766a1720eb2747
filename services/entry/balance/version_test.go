// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// TestFormerVersionIsAllowedOnlyForShortWait requires version 3 at an endpoint that holds version 1.
func TestFormerVersionIsAllowedOnlyForShortWait(t *testing.T) {
	const wait = 300 * time.Millisecond
	stream := &deployment.Route{Kind: deployment.Streaming}
	addWait := func(d *directory.Directory) {
		request := &deployment.Request{Adapter: adapter, Route: stream}
		d.Begin(start.Add(-wait), "old", request)
		d.MarkRunning(start, "old", start.Add(-wait), request)
	}
	for name, test := range map[string]struct {
		prepare     func(d *directory.Directory)
		formerWait  time.Duration
		othersKnown bool
		verdict     balance.Verdict
	}{
		"former versions not allowed":             {func(*directory.Directory) {}, 0, true, balance.NotResident},
		"former versions no longer allowed":       {func(*directory.Directory) {}, -time.Hour, true, balance.NotResident},
		"no wait":                                 {func(*directory.Directory) {}, 1, true, balance.Chosen},
		"waits of other instances unknown":        {func(*directory.Directory) {}, time.Hour, false, balance.NotResident},
		"wait below the limit":                    {addWait, wait + 1, true, balance.Chosen},
		"wait equal to the limit":                 {addWait, wait, true, balance.NotResident},
		"other instances' requests, wait unknown": {func(d *directory.Directory) { d.Endpoint("old").OthersRequests = 1 }, time.Hour, true, balance.NotResident},
		"held version too old":                    {func(*directory.Directory) {}, time.Hour, true, balance.NotResident},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(endpointWithAdapter("old", "near"))
			test.prepare(d)
			request := &deployment.Request{Adapter: adapter, Route: stream}
			required := balance.Requirement{Request: request, Version: 3, FormerVersion: 1, FormerWait: test.formerWait, OthersKnown: test.othersKnown}
			if name == "held version too old" {
				required.FormerVersion = 2
			}
			_, verdict := choose(d, required)
			assert.Equal(t, test.verdict, verdict)

			endpoint := endpointWithAdapter("new", "near")
			endpoint.Adapters = map[deployment.Adapter]int64{adapter: 3}
			d = newDirectory(endpoint)
			d.Endpoint("new").OthersRequests = 1
			_, verdict = choose(d, required)
			assert.Equal(t, balance.Chosen, verdict, "the named version must be allowed in any case")
		})
	}
}

// TestFormerVersionIsNotAllowedWithoutStreaming checks responses that are not streams: a wait longer than expected would not become
// visible before their end.
func TestFormerVersionIsNotAllowedWithoutStreaming(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		request := &deployment.Request{Adapter: adapter, Route: &deployment.Route{Kind: kind}}
		required := balance.Requirement{Request: request, Version: 3, FormerVersion: 1, FormerWait: time.Hour, OthersKnown: true}
		_, verdict := choose(newDirectory(endpointWithAdapter("old", "near")), required)
		assert.Equal(t, balance.NotResident, verdict)
	}
}
