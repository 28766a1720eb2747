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

// ended gives a directory of two endpoints in one hall, and an instant.
func ended() (*directory.Directory, time.Time) {
	d := directory.New()
	for _, id := range []deployment.EndpointID{"a", "b"} {
		d.Put(deployment.Endpoint{ID: id, Service: "s", Hall: "h"}, 1)
	}
	return d, time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
}

// TestAnEndpointThatEndedIsNoCutHall: all exchanges with it end at once, and its neighbours go on.
func TestAnEndpointThatEndedIsNoCutHall(t *testing.T) {
	d, now := ended()
	for range 5 {
		d.End(now, "a", deployment.Adapter{}, directory.Ended)
	}
	assert.True(t, d.Endpoint("a").Avoided(now))
	assert.True(t, d.Endpoint("a").Health.Unreached(now), "the others are told")
	assert.False(t, d.Endpoint("b").Avoided(now))
}

func TestAnEndpointThatAnotherInstanceSawEndIsAvoided(t *testing.T) {
	d, now := ended()
	d.NoteEnded(now, "a")
	d.NoteEnded(now, "unknown")
	assert.True(t, d.Endpoint("a").Avoided(now))
}

// TestARefusalInPlaceOfAnEndpointThatEndedBringsNoRequests: the next process at its address refuses them.
func TestARefusalInPlaceOfAnEndpointThatEndedBringsNoRequests(t *testing.T) {
	d, now := ended()
	d.End(now, "a", deployment.Adapter{}, directory.Ended)
	now = now.Add(800 * time.Millisecond)
	assert.False(t, d.Endpoint("a").Avoided(now), "a trial is due")
	d.End(now, "a", deployment.Adapter{}, directory.Refused)
	assert.True(t, d.Endpoint("a").Avoided(now))
	now = now.Add(1600 * time.Millisecond)
	d.End(now, "a", deployment.Adapter{}, directory.Succeeded)
	d.End(now, "a", deployment.Adapter{}, directory.Refused)
	assert.False(t, d.Endpoint("a").Avoided(now), "it was there all the same")
}
