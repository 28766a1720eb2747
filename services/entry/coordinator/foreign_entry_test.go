// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// TestAnEntryThatNoEndpointWroteTakesItsKeyOnly: somebody else writes over an endpoint's key. While that stands, no request may go there,
// as after a whole reading of the keys; other endpoints, and the same one once it writes its entry again, take work.
func TestAnEntryThatNoEndpointWroteTakesItsKeyOnly(t *testing.T) {
	s := newSite()
	s.store.put(endpointPrefix+"e2", emptyEndpoint)
	s.start(t)
	knows := func(endpoints int) {
		s.waitForStatus(t, "knows the endpoints", func(status coordinator.Status) bool { return status.Endpoints == endpoints })
	}
	knows(2)
	s.store.put(endpointPrefix+"e1", foreignEntry)
	s.store.put(endpointPrefix+"e3", foreignEntry)
	knows(1)
	require.Equal(t, deployment.EndpointID("e2"), s.sendSoon(t).assignment.Endpoint.ID)
	s.store.put(endpointPrefix+"e1", "")
	knows(2)
}
