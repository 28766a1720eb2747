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
