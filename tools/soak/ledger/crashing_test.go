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

// crashingRecord returns a record of a request that has crashed three endpoints after 3 s and then crashes again more endpoints, one each
// second from the given time on.
func crashingRecord(from time.Duration, again int) *ledger.Record {
	r := validRecord()
	r.Bounds.Contact, r.Bounds.CrashRetries = 3*second, 3
	crasher := ledger.Crasher{Name: "crasher"}
	begin := func(when time.Duration) {
		id := fmt.Sprint("c", len(crasher.Sends))
		crasher.Sends = append(crasher.Sends, ledger.Sending{ID: id, Instance: "a", At: at(when)})
		r.Runs = append(r.Runs,
			platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunBegan, At: at(when)},
			platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunCrashed, At: at(when)})
	}
	for number := range 3 {
		begin(time.Duration(number+1) * second)
	}
	for number := range again {
		begin(from + time.Duration(number)*second)
	}
	r.Crashers = []ledger.Crasher{crasher}
	return r
}

func TestCheckCrashingCountsBeginsAfterThirdCrash(t *testing.T) {
	assert.NotEmpty(t, ledger.Checks[ledger.CheckCrashing](crashingRecord(6*second+1, 4)))
	assert.Empty(t, ledger.Checks[ledger.CheckCrashing](crashingRecord(6*second+1, 3)), "as many begins as allowed")
	assert.Empty(t, ledger.Checks[ledger.CheckCrashing](crashingRecord(3*second, 7)), "four of the begins within the contact time")
}

func TestCheckCrashingSkipsDisruptedInstance(t *testing.T) {
	for _, trouble := range []ledger.Disruption{
		{Fault: ledger.Freeze, Target: "a", From: at(6 * second), To: at(9 * second)},
		{Fault: ledger.StoreFault, Target: "store", From: at(6 * second), To: at(9 * second)},
	} {
		r := crashingRecord(6*second+1, 4)
		r.Disruptions = []ledger.Disruption{trouble}
		assert.Empty(t, ledger.Checks[ledger.CheckCrashing](r))
		r.Disruptions[0].Target, r.Disruptions[0].Fault = "b", ledger.Freeze
		assert.NotEmpty(t, ledger.Checks[ledger.CheckCrashing](r), "disruption of another instance")
	}
}

func TestCheckHeldBackFindsRefusalOfHarmlessRequest(t *testing.T) {
	r := validRecord()
	r.Attempts[0].Outcome, r.Attempts[0].Cause = ledger.Refused, "crashes endpoints"
	assert.NotEmpty(t, ledger.Checks[ledger.CheckHeldBack](r))
	r.Attempts[0].Cause = "no endpoint"
	assert.Empty(t, ledger.Checks[ledger.CheckHeldBack](r))
}

// TestCheckCrashingCountsEndpoints: two sendings at one endpoint that crashes each record its crash. Without the third endpoint, no begin is
// late; with it, all that follow are.
func TestCheckCrashingCountsEndpoints(t *testing.T) {
	r := crashingRecord(7*second, 6)
	for i := range r.Runs {
		if r.Runs[i].ID == "c2" {
			r.Runs[i].Endpoint, r.Runs[i].At = "c1", at(2*second)
		}
	}
	assert.Empty(t, ledger.Checks[ledger.CheckCrashing](r), "the first of the later begins crashes the third endpoint, and two are later than 3 s after it")
	assert.NotEmpty(t, ledger.Checks[ledger.CheckCrashing](crashingRecord(7*second, 6)))
}
