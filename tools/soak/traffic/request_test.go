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

// TestStreamAnswerDefects guards against correct answers being reported as defective. The stand-in for an endpoint that answers twice
// sends another event than the expected ones, also when it has to resume a stream of another endpoint. A soak reported it as a wrong
// answer (seed 516, 20 instances), another one (seed 50401) that a text which is no event was reset.
func TestStreamAnswerDefects(t *testing.T) {
	first, second := platformstandin.Event(1, "r", ""), platformstandin.Event(2, "r", "")
	repeated := platformstandin.RepeatedEvent
	for name, test := range map[string]struct {
		kind  ledger.RouteKind
		body  string
		whole bool
	}{
		"all events":                             {ledger.Streaming, first + second, true},
		"last event missing":                     {ledger.Streaming, first, false},
		"event repeated":                         {ledger.Resumable, first + first + second, false},
		"repeated answer":                        {ledger.Streaming, repeated, true},
		"repeated answer that is no stream":      {ledger.Streaming, "twice", false},
		"the same after event, resumable":        {ledger.Resumable, first + "twice", false},
		"repeated answer after event":            {ledger.Streaming, first + repeated, false},
		"repeated answer after event, resumable": {ledger.Resumable, first + repeated, true},
		"repeated answer within event":           {ledger.Resumable, first[:5] + repeated, false},
		"repeated answer after wrong event":      {ledger.Resumable, second + repeated, false},
		"repeated answer between events":         {ledger.Resumable, first + repeated + second, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.whole, traffic.AnswerDefect(test.kind, "r", 2, test.body) == "")
		})
	}
}

// TestBrokenStreamDefects guards against broken streams with events twice, missing or of others, and against correct ones being reported.
func TestBrokenStreamDefects(t *testing.T) {
	first, second := platformstandin.Event(1, "r", ""), platformstandin.Event(2, "r", "")
	for name, test := range map[string]struct {
		body    string
		correct bool
	}{
		"nothing":                  {"", true},
		"first event":              {first, true},
		"inside second event":      {first + second[:9], true},
		"event of its endpoint":    {first + platformstandin.HalfEvent(2), true},
		"inside event of endpoint": {platformstandin.HalfEvent(1)[:12], true},
		"half event, then another": {platformstandin.HalfEvent(1) + "\n\n" + second, false},
		"event twice":              {first + first, false},
		"event missing":            {second, false},
		"half event twice":         {first + platformstandin.HalfEvent(1), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.correct, traffic.PartDefect("r", 2, test.body) == "")
		})
	}
}
