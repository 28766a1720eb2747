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

// told is what the planner's last views of changes told of each endpoint, so that the next one tells only what is different: a copy
// that comes or goes is far shorter than its endpoint with all copies.
type told map[deployment.EndpointID]toldEndpoint

// toldEndpoint is one endpoint as it was told.
type toldEndpoint struct {
	// status is the incarnation, revision the description.
	status   *directory.EndpointStatus
	revision int64
	state    deployment.EndpointState
	models   []string
	offered  map[deployment.Adapter]int64
}

// tell adds the changes of endpoints to a view.
func (t told) tell(v *wire.View, changed []*directory.EndpointStatus) {
	for _, gone := range v.Removed {
		delete(t, gone.ID)
	}
	for _, status := range changed {
		former, ok := t[status.ID]
		if ok && former.status == status && former.revision == status.Revision && former.state == status.State && slices.Equal(former.models, status.OfferedModels) {
			v.CopyChanges = append(v.CopyChanges, former.copies(status)...)
		} else {
			v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
		}
		t[status.ID] = toldEndpoint{
			status: status, revision: status.Revision, state: status.State, models: slices.Clone(status.OfferedModels), offered: maps.Clone(status.Offered),
		}
	}
}

// copies gives the copies that came or went since the endpoint was told.
func (e toldEndpoint) copies(status *directory.EndpointStatus) []wire.CopyChange {
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
