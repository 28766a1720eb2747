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
