// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// told is a record of requests of one instance at an endpoint, one each pause, all of which were told the same.
func told(said platformstandin.Notice, count int, pause time.Duration) *ledger.Record {
	r := &ledger.Record{Bounds: ledger.Bounds{
		Drain: 2 * second, Contact: 3 * second, LimitSpan: 4 * second, LimitSlack: 1.5, LimitExtra: 5, Heard: second / 2, RestRequests: 2,
	}}
	for i := range count {
		id, when := fmt.Sprint("r-", i), at(time.Duration(i)*pause)
		r.Attempts = append(r.Attempts, ledger.Attempt{ID: id, Instance: "a", Began: when})
		for _, phase := range []platformstandin.RunPhase{platformstandin.RunArrived, platformstandin.RunNoticeReceived} {
			r.Notices = append(r.Notices, platformstandin.RunEvent{ID: id, Endpoint: "e", Phase: phase, At: when, SentNotice: said})
		}
	}
	return r
}

func TestWhatEndpointsSayOfThemselvesIsChecked(t *testing.T) {
	limit, leaving, rest := platformstandin.Notice{Limit: "1"}, platformstandin.Notice{Leaving: true}, platformstandin.Notice{Rest: "3"}
	for name, test := range map[string]struct {
		record *ledger.Record
		adjust func(*ledger.Record)
		check  string
		found  bool
	}{
		"within a limit":                   {told(limit, 40, second), nil, ledger.CheckLimit, false},
		"beyond a limit":                   {told(limit, 120, second/4), nil, ledger.CheckLimit, true},
		"before a limit binds":             {told(limit, 13, second/4), nil, ledger.CheckLimit, false},
		"by an instance that is frozen":    {told(limit, 120, second/4), disrupted(ledger.Freeze, "a", 0, 40*second), ledger.CheckLimit, false},
		"until the leaving binds":          {told(leaving, 9, second/4), nil, ledger.CheckLeaving, false},
		"after the leaving binds":          {told(leaving, 10, second/4), nil, ledger.CheckLeaving, true},
		"after the instance's restart":     {told(leaving, 10, second/4), disrupted(ledger.Kill, "a", second, second), ledger.CheckLeaving, false},
		"two requests within a rest":       {told(rest, 3, second), nil, ledger.CheckRest, false},
		"three requests within a rest":     {told(rest, 4, 7*second/10), nil, ledger.CheckRest, true},
		"before a rest binds":              {told(rest, 20, second/50), nil, ledger.CheckRest, false},
		"a rest of another instance":       {told(rest, 20, second/4), func(r *ledger.Record) { r.Attempts = r.Attempts[:1] }, ledger.CheckRest, false},
		"nothing was said of a late start": {told(platformstandin.Notice{}, 40, second/10), nil, ledger.CheckLeaving, false},
	} {
		t.Run(name, func(t *testing.T) {
			if test.adjust != nil {
				test.adjust(test.record)
			}
			assert.Equal(t, test.found, len(ledger.All[test.check](test.record)) > 0)
		})
	}
}
