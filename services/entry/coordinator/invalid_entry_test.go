// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// TestInvalidEntryRemovesOnlyItsEndpoint overwrites an endpoint's key with an invalid entry. Until the endpoint writes its
// entry again, it must get no requests, as after a full read of the keys. Other endpoints are not affected.
func TestInvalidEntryRemovesOnlyItsEndpoint(t *testing.T) {
	f := newFixture()
	f.store.put(endpointPrefix+"e2", endpointWithoutModel)
	f.start(t)
	knows := func(endpoints int) {
		f.waitForStatus(t, "has read the endpoints", func(status coordinator.Status) bool { return status.Endpoints == endpoints })
	}
	knows(2)
	f.store.put(endpointPrefix+"e1", invalidEntry)
	f.store.put(endpointPrefix+"e3", invalidEntry)
	knows(1)
	require.Equal(t, deployment.EndpointID("e2"), f.assignRequest(t).assignment.Endpoint.ID)
	f.store.put(endpointPrefix+"e1", "")
	knows(2)
}
