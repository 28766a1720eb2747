// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// born is an endpoint as of one of its starts.
func born(number int, state deployment.EndpointState) deployment.Endpoint {
	started := endpoint("e", state)
	started.Born = start.Add(time.Duration(number) * time.Second)
	return started
}

// TestAnEndpointThatStartsAgainUnderItsNameIsAnotherOne: what was in flight, refused, observed and held belongs to the process that is
// gone, and must neither keep requests from the new one nor send it those for what it no longer holds.
func TestAnEndpointThatStartsAgainUnderItsNameIsAnotherOne(t *testing.T) {
	d := directory.New()
	d.Put(born(1, deployment.Ready), 1)
	request := &deployment.Request{Adapter: one, Prompt: 1000, Route: &deployment.Route{}}
	for range 3 {
		d.Begin(start, "e", request)
		d.End(start, "e", one, directory.Broken)
	}
	d.Begin(start, "e", request)
	d.NoteMissing(start, "e", one)
	d.RememberHeld(start)
	require.True(t, d.Endpoint("e").Health.Ejected(start))

	empty := born(2, deployment.Ready)
	empty.Adapters = nil
	assert.True(t, d.Put(empty, 2))
	status := d.Endpoint("e")
	assert.Zero(t, status.Load())
	assert.Zero(t, status.Unread())
	assert.Empty(t, status.OwnByAdapter)
	assert.Empty(t, status.Held)
	assert.False(t, status.Holds(start, one, 0))
	assert.False(t, status.Health.Ejected(start))
	assert.Len(t, d.Service("service"), 1)

	status.Offered = map[deployment.Adapter]int64{one: 2}
	assert.True(t, status.Holds(start, one, 0), "the refusal was the former one's")
}

func TestALateDescriptionOfTheFormerStartIsPassedOver(t *testing.T) {
	d := directory.New()
	d.Put(born(2, deployment.Ready), 5)
	assert.False(t, d.Put(born(1, deployment.Draining), 4))
	assert.Equal(t, deployment.Ready, d.Endpoint("e").State)
	assert.Equal(t, born(2, deployment.Ready).Born, d.Endpoint("e").Born)
}

// TestDrainingEndsWithTheIncarnation: the one that was leaving takes no work again, also when it is described anew, and the next one does.
func TestDrainingEndsWithTheIncarnation(t *testing.T) {
	d := directory.New()
	d.Put(born(1, deployment.Draining), 1)
	d.Put(born(1, deployment.Ready), 2)
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
	d.Remove("e", 3)
	d.Put(born(1, deployment.Ready), 4)
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
	d.Put(born(2, deployment.Ready), 5)
	assert.Equal(t, deployment.Ready, d.Endpoint("e").State)
}

// TestADescriptionWithoutAStartIsOfTheSameIncarnation: a planner of the version before does not pass it on.
func TestADescriptionWithoutAStartIsOfTheSameIncarnation(t *testing.T) {
	d := directory.New()
	d.Put(born(1, deployment.Ready), 1)
	d.Begin(start, "e", &deployment.Request{Adapter: one})
	d.Put(endpoint("e", deployment.Ready), 2)
	assert.Equal(t, 1, d.Endpoint("e").Own)
	assert.Equal(t, born(1, deployment.Ready).Born, d.Endpoint("e").Born)
	d.Put(born(1, deployment.Ready), 3)
	assert.Equal(t, 1, d.Endpoint("e").Own)
}

// TestADescriptionThatIsReadAgainDropsNoCopy: the store's description lists copies late, and the planner told of those that came since.
func TestADescriptionThatIsReadAgainDropsNoCopy(t *testing.T) {
	two := deployment.Adapter{Model: "base", Name: "a2"}
	d := directory.New()
	described := endpoint("e", deployment.Ready)
	d.Put(described, 5)
	d.SetCopy("e", two, 7)
	d.SetCopy("e", one, 0)
	d.SetCopy("gone", one, 1)
	assert.Equal(t, map[deployment.Adapter]int64{two: 7}, d.Endpoint("e").Offered)
	d.Put(described, 5)
	assert.Equal(t, map[deployment.Adapter]int64{two: 7}, d.Endpoint("e").Offered)
	d.Put(described, 6)
	assert.Equal(t, described.Adapters, d.Endpoint("e").Offered, "a newer one counts")
	assert.Equal(t, map[deployment.Adapter]int64{one: 2}, described.Adapters, "nor was it changed itself")
}

func TestHowLongRequestsStayIsLearntByService(t *testing.T) {
	d := directory.New()
	assert.Equal(t, time.Second, d.Stay("s"))
	d.NoteStay("s", 4*time.Second)
	assert.Equal(t, 4*time.Second, d.Stay("s"))
	for range 200 {
		d.NoteStay("s", 2*time.Second)
	}
	assert.InDelta(t, 2, d.Stay("s").Seconds(), 0.01)
	assert.Equal(t, time.Second, d.Stay("other"))
}
