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

// newDirectoryOfTwo returns a directory with the endpoints a and b in one hall, and the current time of the test.
func newDirectoryOfTwo() (*directory.Directory, time.Time) {
	d := directory.New()
	for _, id := range []deployment.EndpointID{"a", "b"} {
		d.Put(deployment.Endpoint{ID: id, Service: "s", Hall: "h"}, 1)
	}
	return d, time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
}

// TestEndedProcessDoesNotMakeHallUnreachable: all exchanges with an endpoint end at once when its process ends, while other endpoints of
// its hall keep answering.
func TestEndedProcessDoesNotMakeHallUnreachable(t *testing.T) {
	d, now := newDirectoryOfTwo()
	for range 5 {
		d.End(now, "a", deployment.Adapter{}, directory.Ended)
	}
	assert.True(t, d.Endpoint("a").Avoided(now))
	assert.True(t, d.Endpoint("a").Health.Unreachable(now), "reported to the other instances")
	assert.False(t, d.Endpoint("b").Avoided(now))
}

func TestEndReportedByAnotherInstanceEjectsEndpoint(t *testing.T) {
	d, now := newDirectoryOfTwo()
	d.MarkEnded(now, "a")
	d.MarkEnded(now, "unknown")
	assert.True(t, d.Endpoint("a").Avoided(now))
}

// TestRefusalAfterProcessEndEjectsEndpoint: a new process at the address of an ended one refuses requests that were meant for the ended
// one.
func TestRefusalAfterProcessEndEjectsEndpoint(t *testing.T) {
	d, now := newDirectoryOfTwo()
	d.End(now, "a", deployment.Adapter{}, directory.Ended)
	now = now.Add(800 * time.Millisecond)
	assert.False(t, d.Endpoint("a").Avoided(now), "a trial is due")
	d.End(now, "a", deployment.Adapter{}, directory.Refused)
	assert.True(t, d.Endpoint("a").Avoided(now))
	now = now.Add(1600 * time.Millisecond)
	d.End(now, "a", deployment.Adapter{}, directory.Succeeded)
	d.End(now, "a", deployment.Adapter{}, directory.Refused)
	assert.False(t, d.Endpoint("a").Avoided(now), "a refusal after an answer is not taken for an ended process")
}
