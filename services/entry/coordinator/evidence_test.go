// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/evidence"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// deadly is a request that ends endpoints.
var deadly = fingerprint.Fingerprint{7}

// storedEvidence returns the evidence in the store of a fixture.
func (f *fixture) storedEvidence(t *testing.T) evidence.Content {
	t.Helper()
	reader := evidence.Store{Client: f.store.client(), Timeout: waitLimit}
	content, err := reader.Read(t.Context())
	require.NoError(t, err)
	return content
}

// storeEvidence writes that the deadly request has ended three endpoints.
func (f *fixture) storeEvidence(t *testing.T) {
	t.Helper()
	writer := evidence.Store{Client: f.store.client(), Timeout: waitLimit}
	_, err := writer.Read(t.Context())
	require.NoError(t, err)
	var content evidence.Content
	for i, endpoint := range []string{"ended-1", "ended-2", "ended-3"} {
		content.Requests = append(content.Requests, quarantine.Crash{Request: deadly, Endpoint: endpoint, Age: time.Duration(i+1) * time.Second})
	}
	require.NoError(t, writer.Write(t.Context(), content))
}

// reportCrashes has a new member report that the deadly request has ended endpoints.
func (f *fixture) reportCrashes(t *testing.T) {
	t.Helper()
	member := f.joinWireMember(t, "member")
	go drainWire(member)
	report := &wire.Report{Instance: "member", Contact: &wire.Contact{Hall: "hall"}}
	for i, endpoint := range []deployment.EndpointID{"ended-1", "ended-2", "ended-3"} {
		report.Crashes = append(report.Crashes, wire.Crash{Request: deadly, Endpoint: endpoint, Age: time.Duration(i+1) * time.Second})
	}
	require.NoError(t, member.Send(wire.Message{Report: report}))
}

// TestReadyInstanceHoldsRequestOfEvidence guards against an instance that takes requests before it knows which of them end endpoints.
func TestReadyInstanceHoldsRequestOfEvidence(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.storeEvidence(t)
	f.start(t)
	require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
	assert.Contains(t, f.instance.QuarantinedRequests(), deadly)
}

func TestInstanceIsReadyThoughEvidenceIsUnreadable(t *testing.T) {
	f := newFixture()
	f.store.put(evidence.Key, "foreign")
	f.start(t)
	require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
	f.waitForOrdering(t, 1)
	f.reportCrashes(t)
	require.Eventually(t, func() bool { return len(f.instance.QuarantinedRequests()) == 1 }, waitLimit, pollInterval)
	reader := evidence.Store{Client: f.store.client(), Timeout: waitLimit}
	require.Eventually(t, func() bool {
		content, err := reader.Read(t.Context())
		return err == nil && len(content.Requests) == 3
	}, waitLimit, pollInterval)
}

func TestPlannerWritesEvidenceUntilItIsTakenBack(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForOrdering(t, 1)
	f.reportCrashes(t)
	require.Eventually(t, func() bool { return len(f.storedEvidence(t).Requests) == 3 }, waitLimit, pollInterval)
	require.True(t, f.instance.ReleaseRequest(deadly))
	require.Eventually(t, func() bool { return len(f.storedEvidence(t).Requests) == 0 }, waitLimit, pollInterval)
}

// TestPlannerWritesEvidenceAgainAfterFailures guards against evidence that is missing in the store since one write got no answer.
func TestPlannerWritesEvidenceAgainAfterFailures(t *testing.T) {
	f := newFixture()
	failing := 2
	f.aroundCommit = func(commit commitFunc) commitFunc {
		return func(ctx context.Context, transaction store.Transaction) (int64, error) {
			if len(transaction.Writes) > 0 && transaction.Writes[0].Key == evidence.Key && failing > 0 {
				failing--
				return 0, &store.UnknownError{Cause: errDown}
			}
			return commit(ctx, transaction)
		}
	}
	f.start(t)
	f.waitForOrdering(t, 1)
	f.reportCrashes(t)
	require.Eventually(t, func() bool { return len(f.storedEvidence(t).Requests) == 3 }, waitLimit, pollInterval)
}

// TestNewPlannerAddsToEvidenceOfFormerOne guards against a planner that replaces what another one wrote after this one had started.
func TestNewPlannerAddsToEvidenceOfFormerOne(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
	f.storeEvidence(t)
	f.store.remove(heartbeatKey)
	f.waitForOrdering(t, 5)
	require.Eventually(t, func() bool { return f.instance.QuarantinedRequests()[deadly].Endpoints != nil }, waitLimit, pollInterval)
	assert.Len(t, f.storedEvidence(t).Requests, 3)
}

// answer has the endpoint answer a request, with a statement that it is brittle or without.
func (f *fixture) answer(t *testing.T, rejections *float64) {
	t.Helper()
	assignment, request, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	f.instance.ApplyNotice(assignment, time.Now(), deployment.Notice{Brittle: rejections})
	f.instance.Finish(request, assignment, directory.Succeeded, false)
}

func TestBrittleServicesAreKnownAfterLossOfAllInstances(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForOrdering(t, 1)
	f.answer(t, new(3.0))
	require.Eventually(t, func() bool { return len(f.storedEvidence(t).Brittle) == 1 }, waitLimit, pollInterval)
	f.instance.Stop()
	f.network = newFixture().network
	f.start(t)
	require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
	brittle := func() string {
		for _, entry := range f.log.AllEntries() {
			if strings.Contains(entry.Message, "brittle") {
				return entry.Message
			}
		}
		return ""
	}
	assert.Contains(t, brittle(), "the endpoints of a service are brittle")
	assert.Equal(t, []evidence.Brittle{{Service: service, Rejections: 3}}, f.storedEvidence(t).Brittle)
}

// TestBrittleServiceOfStoreIsForgottenByAnswers guards against services that stay slow since they once had brittle endpoints.
func TestBrittleServiceOfStoreIsForgottenByAnswers(t *testing.T) {
	f := newFixture()
	writer := evidence.Store{Client: f.store.client(), Timeout: waitLimit}
	require.NoError(t, writer.Write(t.Context(), evidence.Content{Brittle: []evidence.Brittle{{Service: service, Rejections: 3}}}))
	f.start(t)
	f.waitForOrdering(t, 1)
	require.Eventually(t, func() bool {
		f.answer(t, nil)
		return len(f.storedEvidence(t).Brittle) == 0
	}, waitLimit, 10*pollInterval)
}
