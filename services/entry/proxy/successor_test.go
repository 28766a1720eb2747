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

// TestAStreamThatGoesOnNeedsNoOtherEndpoint has the wait for another endpoint end, or its place be given back, once the stream goes on.
func TestAStreamThatGoesOnNeedsNoOtherEndpoint(t *testing.T) {
	s, server := newSite(t, events(first)+quiet+chunk(second)+last)
	s.pauseTarget(scriptPause / 2)
	s.budget = 1
	ended := make(chan error, 10)
	s.acquires = func(ctx context.Context, _ *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error) {
		if len(tried) == 0 {
			return coordinator.Assignment{Endpoint: s.endpoints[0]}, nil
		}
		<-ctx.Done()
		ended <- ctx.Err()
		return coordinator.Assignment{}, ctx.Err()
	}
	assert.Equal(t, answered{http.StatusOK, first + second, "", true}, ask(t, server, "/resumable", ""))
	select {
	case err := <-ended:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(dialLimit):
		assert.Fail(t, "another endpoint is still waited for")
	}
	<-s.observed
	assert.Equal(t, []directory.Outcome{directory.Succeeded}, s.outcomes)
}
