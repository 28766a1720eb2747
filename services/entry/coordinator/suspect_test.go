// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// TestPlannerClaimsTrialOfWaitingRequest has the planner learn that a request crashed endpoints while the request waits for its adapter.
//
// It guards against a planner whose process ends by its use of memory: a plan reviews the waiting requests, the review claimed a trial of such
// a request, and publishing the claim made the next plan, before the claim was sent.
func TestPlannerClaimsTrialOfWaitingRequest(t *testing.T) {
	f := newFixture()
	release := f.engine.blockLoads()
	defer release()
	f.start(t)
	f.waitForOrdering(t, 1)
	suspected := fingerprint.Fingerprint{1}
	outcome := make(chan error, 1)
	go func() {
		now := time.Now()
		request := &deployment.Request{
			Route: route, Service: service, Adapter: adapter("a1"), Arrived: now, Deadline: now.Add(20 * time.Second), Fingerprint: suspected,
		}
		_, err := f.instance.Acquire(context.Background(), request, nil)
		outcome <- err
	}()
	require.Eventually(t, func() bool { return f.instance.Status().Waiting == 1 }, waitLimit, pollInterval)
	member := f.joinWireMember(t, "member")
	go drainWire(member)
	report := &wire.Report{Instance: "member", Contact: &wire.Contact{Hall: "hall"}}
	for _, endpoint := range []deployment.EndpointID{"ended-1", "ended-2", "ended-3"} {
		// The hold after ends at one time is over.
		report.Crashes = append(report.Crashes, wire.Crash{Request: suspected, Endpoint: endpoint, Age: 3 * time.Second})
	}
	require.NoError(t, member.Send(wire.Message{Report: report}))
	// The trial is the only sending, so it is made after the wait for other claims.
	time.Sleep(time.Second)
	release()
	select {
	case err := <-outcome:
		assert.NoError(t, err)
	case <-time.After(waitLimit):
		assert.Fail(t, "the request was neither sent nor refused")
	}
}
