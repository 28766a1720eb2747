// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"maps"
	"slices"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// sentEndpoints is the state of each endpoint according to the planner's last views, so that the next view contains only
// the differences. A copy that was loaded or unloaded is much shorter to send than its endpoint with all copies.
type sentEndpoints map[deployment.EndpointID]sentEndpoint

// sentEndpoint is the state of one endpoint as it was last sent.
type sentEndpoint struct {
	// status identifies the incarnation, and revision the description.
	status   *directory.EndpointStatus
	revision int64
	state    deployment.EndpointState
	software string
	models   []string
	offered  map[deployment.Adapter]int64
}

// addChanges adds the changes of endpoints to a view.
func (t sentEndpoints) addChanges(v *wire.View, changed []*directory.EndpointStatus) {
	for _, removed := range v.Removed {
		delete(t, removed.ID)
	}
	for _, status := range changed {
		former, ok := t[status.ID]
		if ok && former.describes(status) {
			v.CopyChanges = append(v.CopyChanges, former.copyChanges(status)...)
		} else {
			v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
		}
		t[status.ID] = sentEndpoint{
			status: status, revision: status.Revision, state: status.State, software: status.Software,
			models: slices.Clone(status.OfferedModels), offered: maps.Clone(status.Offered),
		}
	}
}

// describes reports whether the endpoint, apart from its copies, is as it was last sent.
func (e *sentEndpoint) describes(status *directory.EndpointStatus) bool {
	return e.status == status && e.revision == status.Revision && e.state == status.State && e.software == status.Software &&
		slices.Equal(e.models, status.OfferedModels)
}

// copyChanges returns the copies that were loaded or unloaded since the endpoint was last sent.
func (e sentEndpoint) copyChanges(status *directory.EndpointStatus) []wire.CopyChange {
	var changes []wire.CopyChange
	for adapter, version := range status.Offered {
		if e.offered[adapter] != version {
			changes = append(changes, wire.CopyChange{ID: status.ID, Model: adapter.Model, Name: adapter.Name, Version: version})
		}
	}
	for adapter := range e.offered {
		if _, held := status.Offered[adapter]; !held {
			changes = append(changes, wire.CopyChange{ID: status.ID, Model: adapter.Model, Name: adapter.Name})
		}
	}
	return changes
}
