// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

func TestSharedServices(t *testing.T) {
	route := func(prefix string, services ...string) *deployment.Route {
		built := &deployment.Route{Host: "a.example", PathPrefix: prefix}
		for _, service := range services {
			built.Backends = append(built.Backends, deployment.Backend{Service: service, Weight: 1})
		}
		return built
	}
	routes := []*deployment.Route{
		route("/one/", "alone"), route("/two/", "second", "first"), route("/three/", "first"), route("/four/", "twice", "twice"),
	}
	configuration := deployment.NewConfiguration(1, routes, nil, deployment.Limits{})
	assert.Equal(t, []string{"first", "second"}, configuration.SharedServices())
	assert.Equal(t, []string{"first", "second"}, routes[1].Services())
	assert.Empty(t, deployment.NewConfiguration(1, routes[:1], nil, deployment.Limits{}).SharedServices())
}
