// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

// TestWhichAnswersToAStreamAreWhole: the stand-in of an endpoint that answers twice gives another text than a stream, also where it is
// to go on with one; that was taken for a wrong answer (seed 516, 20 instances).
func TestWhichAnswersToAStreamAreWhole(t *testing.T) {
	first, second := platformstandin.Event(1, "r", ""), platformstandin.Event(2, "r", "")
	for name, test := range map[string]struct {
		kind  ledger.RouteKind
		body  string
		whole bool
	}{
		"all events":                        {ledger.Streaming, first + second, true},
		"an event less":                     {ledger.Streaming, first, false},
		"an event twice":                    {ledger.Resumable, first + first + second, false},
		"a second answer's text":            {ledger.Streaming, "twice", true},
		"the same after an event":           {ledger.Streaming, first + "twice", false},
		"the same after one, resumable":     {ledger.Resumable, first + "twice", true},
		"the same within an event":          {ledger.Resumable, first[:5] + "twice", false},
		"the same after another's event":    {ledger.Resumable, second + "twice", false},
		"the same before the rest of a one": {ledger.Resumable, first + "twice" + second, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.whole, traffic.Wrong(test.kind, "r", 2, test.body) == "")
		})
	}
}
