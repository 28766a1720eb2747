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

func TestStreamServices(t *testing.T) {
	backends := []deployment.Backend{{Service: "second", Weight: 1}, {Service: "first", Weight: 1}}
	routes := []*deployment.Route{
		{Name: "kept", Host: "a.example", PathPrefix: "/one/", Kind: deployment.Streaming, Resumable: true, Backends: backends},
		{Name: "not resumed", Host: "a.example", PathPrefix: "/two/", Kind: deployment.Streaming, Backends: backends},
		{Name: "no stream", Host: "b.example", PathPrefix: "/", Kind: deployment.Safe, Resumable: true, Backends: backends},
	}
	configuration := deployment.NewConfiguration(1, routes, nil, deployment.Limits{})
	assert.Equal(t, map[string][]string{"kept": {"first", "second"}}, configuration.StreamServices())
}
