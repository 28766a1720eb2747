// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
)

func TestLimitedAndRestingEndpointsAreNeverChosen(t *testing.T) {
	d := newDirectory(endpointWithAdapter("resting", "near"), endpointWithAdapter("limited", "near"))
	d.Endpoint("resting").RecordRest(start.Add(time.Second))
	d.Endpoint("limited").Allowance.ObserveResponse(start, start, new(1.0))
	request := &deployment.Request{Adapter: adapter}
	chosen, verdict := choose(d, balance.Requirement{Request: request})
	assert.Nil(t, chosen)
	assert.Equal(t, balance.Limited, verdict)
	chosen, verdict = choose(d, balance.Requirement{Request: &deployment.Request{Adapter: adapter, OnlyEndpoint: "resting"}})
	assert.Nil(t, chosen, "the endpoint is not chosen for a stream to be resumed there either")
	assert.Equal(t, balance.Resting, verdict)

	d.Endpoint("limited").Allowance.Grant(start, 1)
	chosen, _ = choose(d, balance.Requirement{Request: request})
	require.NotNil(t, chosen)
	assert.EqualValues(t, "limited", chosen.ID)
	d.Begin(start, chosen.ID, request)
	_, verdict = choose(d, balance.Requirement{Request: request})
	assert.Equal(t, balance.Limited, verdict, "a grant allows one request")
}
