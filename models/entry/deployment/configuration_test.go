// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	short := &deployment.Route{Name: "short", Host: "a.example", PathPrefix: "/x/"}
	long := &deployment.Route{Name: "long", Host: "a.example", PathPrefix: "/x/y/"}
	other := &deployment.Route{Name: "other", Host: "b.example", PathPrefix: "/"}
	configuration := deployment.NewConfiguration(1, []*deployment.Route{short, long, other}, nil, deployment.Limits{})

	assert.Same(t, long, configuration.Match("a.example", "/x/y/z"))
	assert.Same(t, short, configuration.Match("A.example:80", "/x/yz"))
	assert.Same(t, other, configuration.Match("b.example", "/anything"))
	assert.Nil(t, configuration.Match("a.example", "/x"))
	assert.Nil(t, configuration.Match("c.example", "/x/"))
}

func TestOnlySafeAndResumableRoutesMayBeRetried(t *testing.T) {
	assert.True(t, (&deployment.Route{Kind: deployment.Safe}).Retryable())
	assert.False(t, (&deployment.Route{Kind: deployment.Unsafe}).Retryable())
	assert.False(t, (&deployment.Route{Kind: deployment.Streaming}).Retryable())
	assert.True(t, (&deployment.Route{Kind: deployment.Streaming, Resumable: true}).Retryable())
}

func TestThePrioritiesOfAServicesRoutesAreRanked(t *testing.T) {
	route := func(priority int, services ...string) *deployment.Route {
		one := &deployment.Route{Host: "a.example", PathPrefix: "/", Priority: priority}
		for _, service := range services {
			one.Backends = append(one.Backends, deployment.Backend{Service: service, Weight: 1})
		}
		return one
	}
	configuration := deployment.NewConfiguration(1, []*deployment.Route{
		route(7, "models"), route(0, "models", "desk"), route(7, "models"), route(3, "models"),
	}, nil, deployment.Limits{})
	rank := func(service string, priority int) [2]int {
		place, of := configuration.PriorityRank(service, priority)
		return [2]int{place, of}
	}
	assert.Equal(t, [2]int{0, 3}, rank("models", 0))
	assert.Equal(t, [2]int{1, 3}, rank("models", 3))
	assert.Equal(t, [2]int{2, 3}, rank("models", 7))
	assert.Equal(t, [2]int{0, 1}, rank("desk", 0))
	assert.Equal(t, [2]int{2, 4}, rank("models", 5), "a route of an older configuration")
	assert.Equal(t, [2]int{0, 1}, rank("other", 5))
}
