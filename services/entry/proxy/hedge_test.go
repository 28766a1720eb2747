// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// TestContinuedStreamCancelsHedge checks that the wait for another endpoint is canceled, or the endpoint released, when the stream
// continues.
func TestContinuedStreamCancelsHedge(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent)+searchSilence+encodeChunk(secondEvent)+lastChunk)
	p.setPauseTarget(scriptPause / 2)
	p.retryBudget = 1
	acquireErrors := make(chan error, 10)
	p.acquireHook = func(ctx context.Context, _ *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error) {
		if len(tried) == 0 {
			return coordinator.Assignment{Endpoint: p.endpoints[0]}, nil
		}
		<-ctx.Done()
		acquireErrors <- ctx.Err()
		return coordinator.Assignment{}, ctx.Err()
	}
	assert.Equal(t, callerResponse{http.StatusOK, firstEvent + secondEvent, "", true}, sendRequest(t, server, "/resumable", ""))
	select {
	case err := <-acquireErrors:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(dialTimeout):
		assert.Fail(t, "the wait for another endpoint was not canceled")
	}
	<-p.observations
	assert.Equal(t, []directory.Outcome{directory.Succeeded}, p.outcomes)
}

// TestSearchDoesNotBeginAfterEvent guards against an event that the caller gets twice: a search for another endpoint began from the position
// before an event that had just come.
func TestSearchDoesNotBeginAfterEvent(t *testing.T) {
	assert.False(t, proxy.BeginsSearchAfterPause())
}

// lateSearchEnd is how long after its cancellation a search ends: later than the next silence lets the timer fire.
const lateSearchEnd = 3 * scriptPause

// TestCanceledSearchLeavesNextSilenceItsHedge guards against a silence without a hedge, since its timer fired while the canceled search for
// the silence before had not ended.
func TestCanceledSearchLeavesNextSilenceItsHedge(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent)+searchSilence+encodeChunk(secondEvent)+searchSilence+searchSilence+lastChunk)
	p.setPauseTarget(scriptPause / 2)
	p.retryBudget = 1
	searches := make(chan struct{}, 10)
	p.acquireHook = func(ctx context.Context, _ *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error) {
		if len(tried) == 0 {
			return coordinator.Assignment{Endpoint: p.endpoints[0]}, nil
		}
		searches <- struct{}{}
		<-ctx.Done()
		// The timer of the next silence fires meanwhile.
		time.Sleep(lateSearchEnd)
		return coordinator.Assignment{}, ctx.Err()
	}
	assert.Equal(t, callerResponse{http.StatusOK, firstEvent + secondEvent, "", true}, sendRequest(t, server, "/resumable", ""))
	<-p.observations
	assert.Len(t, searches, 2, "one search for each silence")
}
