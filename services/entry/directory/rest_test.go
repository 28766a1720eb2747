// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

func TestRestEndsAtLatestRequestedTime(t *testing.T) {
	d := directory.New()
	d.Put(deployment.Endpoint{ID: "e", Service: "s"}, 1)
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	status := d.Endpoint("e")
	assert.False(t, status.IsResting(now))
	status.RecordRest(now.Add(3 * time.Second))
	status.RecordRest(now.Add(time.Second))
	assert.True(t, status.IsResting(now.Add(3*time.Second-1)))
	assert.False(t, status.IsResting(now.Add(3*time.Second)))
}

func TestSingleRequestTriesEndpointAfterRest(t *testing.T) {
	d := directory.New()
	d.Put(deployment.Endpoint{ID: "e", Service: "s"}, 1)
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	status := d.Endpoint("e")
	status.RecordRest(now.Add(time.Second))
	rested := now.Add(2 * time.Second)
	d.Begin(rested, "e", &deployment.Request{Service: "s"})
	assert.True(t, status.IsResting(rested), "only the trial request is sent until its answer, which may ask for another rest")
	assert.False(t, status.IsResting(rested.Add(250*time.Millisecond)))
	status.RecordRest(rested.Add(3 * time.Second))
	assert.True(t, status.IsResting(rested.Add(time.Second)))
	d.Begin(rested.Add(4*time.Second), "e", &deployment.Request{Service: "s"})
	d.Begin(rested.Add(5*time.Second), "e", &deployment.Request{Service: "s"})
	assert.False(t, status.IsResting(rested.Add(5*time.Second)), "only one trial after each rest")
}
