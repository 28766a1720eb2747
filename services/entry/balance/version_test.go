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

// TestAFormerVersionServesOnlyWhereItsTimeCoversTheWait asks for version 3 at an endpoint that holds version 1.
func TestAFormerVersionServesOnlyWhereItsTimeCoversTheWait(t *testing.T) {
	const wait = 300 * time.Millisecond
	stream := &deployment.Route{Kind: deployment.Streaming}
	waits := func(d *directory.Directory) {
		request := &deployment.Request{Adapter: adapter, Route: stream}
		d.Begin(start.Add(-wait), "old", request)
		d.Running(start, "old", start.Add(-wait), request)
	}
	for name, test := range map[string]struct {
		play        func(d *directory.Directory)
		formerWait  time.Duration
		othersKnown bool
		verdict     balance.Verdict
	}{
		"its time is over":                    {func(*directory.Directory) {}, 0, true, balance.NotResident},
		"it is long over":                     {func(*directory.Directory) {}, -time.Hour, true, balance.NotResident},
		"nobody waits":                        {func(*directory.Directory) {}, 1, true, balance.Chosen},
		"nobody of this instance waits":       {func(*directory.Directory) {}, time.Hour, false, balance.NotResident},
		"the wait is within its time":         {waits, wait + 1, true, balance.Chosen},
		"the wait is as long as its time":     {waits, wait, true, balance.NotResident},
		"others are at work, no wait is seen": {func(d *directory.Directory) { d.Endpoint("old").OthersRequests = 1 }, time.Hour, true, balance.NotResident},
		"its own time is over":                {func(*directory.Directory) {}, time.Hour, true, balance.NotResident},
	} {
		t.Run(name, func(t *testing.T) {
			d := build(holder("old", "near"))
			test.play(d)
			request := &deployment.Request{Adapter: adapter, Route: stream}
			required := balance.Requirement{Request: request, Version: 3, Former: 1, FormerWait: test.formerWait, OthersKnown: test.othersKnown}
			if name == "its own time is over" {
				required.Former = 2
			}
			_, verdict := choose(d, required)
			assert.Equal(t, test.verdict, verdict)

			endpoint := holder("new", "near")
			endpoint.Adapters = map[deployment.Adapter]int64{adapter: 3}
			d = build(endpoint)
			d.Endpoint("new").OthersRequests = 1
			_, verdict = choose(d, required)
			assert.Equal(t, balance.Chosen, verdict, "the named version serves in any case")
		})
	}
}

// TestAnAnswerThatComesWholeGetsNoFormerVersion: that it waits for longer than expected would not show before its end.
func TestAnAnswerThatComesWholeGetsNoFormerVersion(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe} {
		request := &deployment.Request{Adapter: adapter, Route: &deployment.Route{Kind: kind}}
		required := balance.Requirement{Request: request, Version: 3, Former: 1, FormerWait: time.Hour, OthersKnown: true}
		_, verdict := choose(build(holder("old", "near")), required)
		assert.Equal(t, balance.NotResident, verdict)
	}
}
