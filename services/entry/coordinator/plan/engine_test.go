// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// TestServiceWithoutEngineIsNotPlanned removes the engine from a service that stays configured. Its endpoints must get no more
// orders, as if the service had been removed.
func TestServiceWithoutEngineIsNotPlanned(t *testing.T) {
	f := newFixture()
	plain := deployment.NewConfiguration(2, nil, map[string]*deployment.Service{service: {Name: service}}, deployment.Limits{})
	f.plans.SetConfiguration(start, plain, maps.All(map[deployment.Adapter]int64{}))
	assert.False(t, f.plans.HasService(service))
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Empty(t, f.ordered)
}
