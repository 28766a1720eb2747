// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
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

func TestRetryable(t *testing.T) {
	assert.True(t, (&deployment.Route{Kind: deployment.Safe}).Retryable())
	assert.False(t, (&deployment.Route{Kind: deployment.Unsafe}).Retryable())
	assert.False(t, (&deployment.Route{Kind: deployment.Streaming}).Retryable())
	assert.True(t, (&deployment.Route{Kind: deployment.Streaming, Resumable: true}).Retryable())
}

func TestPriorityRank(t *testing.T) {
	route := func(priority int, services ...string) *deployment.Route {
		built := &deployment.Route{Host: "a.example", PathPrefix: "/", Priority: priority}
		for _, service := range services {
			built.Backends = append(built.Backends, deployment.Backend{Service: service, Weight: 1})
		}
		return built
	}
	configuration := deployment.NewConfiguration(1, []*deployment.Route{
		route(7, "models"), route(0, "models", "desk"), route(7, "models"), route(3, "models"),
	}, nil, deployment.Limits{})
	rankOf := func(service string, priority int) [2]int {
		rank, count := configuration.PriorityRank(service, priority)
		return [2]int{rank, count}
	}
	assert.Equal(t, [2]int{0, 3}, rankOf("models", 0))
	assert.Equal(t, [2]int{1, 3}, rankOf("models", 3))
	assert.Equal(t, [2]int{2, 3}, rankOf("models", 7))
	assert.Equal(t, [2]int{0, 1}, rankOf("desk", 0))
	assert.Equal(t, [2]int{2, 4}, rankOf("models", 5), "a priority of an older configuration")
	assert.Equal(t, [2]int{0, 1}, rankOf("other", 5))
}
