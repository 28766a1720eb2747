// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter = deployment.Adapter{Model: "base", Name: "a1"}
)

func endpoint(id string, state deployment.EndpointState) deployment.Endpoint {
	return deployment.Endpoint{
		ID: deployment.EndpointID(id), Service: "service", State: state, Models: []string{"base"},
		Adapters: map[deployment.Adapter]int64{adapter: 2},
	}
}

func TestDrainingEndpointStaysDraining(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Draining), 5)
	d.Put(endpoint("e", deployment.Ready), 9)
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
}

func TestOlderDrainingDescriptionApplies(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 9)
	assert.True(t, d.Put(endpoint("e", deployment.Draining), 5))
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
}

func TestOlderDescriptionDoesNotAddRemovedEndpoint(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	require.True(t, d.Remove("e", 7))
	assert.False(t, d.Put(endpoint("e", deployment.Ready), 6))
	assert.Nil(t, d.Endpoint("e"))
	assert.True(t, d.Put(endpoint("e", deployment.Ready), 8))
}

func TestReplaceKeepsNewerEndpoints(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("new", deployment.Ready), 9)
	d.Put(endpoint("old", deployment.Ready), 3)
	d.Replace([]deployment.Endpoint{}, nil, 5)
	assert.NotNil(t, d.Endpoint("new"))
	assert.Nil(t, d.Endpoint("old"))
}

func TestSetOfferedKeepsDescription(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	d.SetOffered("e", []string{"base"}, map[deployment.Adapter]int64{})
	status := d.Endpoint("e")
	assert.False(t, status.Holds(start, adapter, 0))
	assert.Contains(t, status.Adapters, adapter, "the endpoint's own description stays")
}

func TestHoldsChecksVersionAndMissingAdapters(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	status := d.Endpoint("e")
	assert.True(t, status.Holds(start, adapter, 2))
	assert.False(t, status.Holds(start, adapter, 3))
	d.MarkMissing(start, "e", adapter)
	assert.False(t, status.Holds(start.Add(time.Second), adapter, 2))
	assert.True(t, status.Holds(start.Add(2*time.Second), adapter, 2))
	assert.True(t, status.Holds(start, deployment.Adapter{Model: "base"}, 0))
	assert.False(t, status.Holds(start, deployment.Adapter{Model: "other"}, 0))
}

func exchange(d *directory.Directory, now time.Time, id string, outcome directory.Outcome) {
	d.Begin(now, deployment.EndpointID(id), &deployment.Request{Adapter: adapter})
	d.End(now, deployment.EndpointID(id), adapter, outcome)
}

func TestBrokenExchangesEjectUntilTrialSucceeds(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	exchange(d, start, "e", directory.Broken)
	assert.False(t, d.Endpoint("e").Health.Ejected(start))
	exchange(d, start, "e", directory.Broken)
	require.True(t, d.Endpoint("e").Health.Ejected(start))

	later := start.Add(time.Second)
	require.False(t, d.Endpoint("e").Health.Ejected(later))
	d.Begin(later, "e", &deployment.Request{Adapter: adapter})
	assert.True(t, d.Endpoint("e").Health.Ejected(later), "only one request tries the endpoint")
	d.End(later, "e", adapter, directory.Succeeded)
	assert.False(t, d.Endpoint("e").Health.Ejected(later))
}

func TestRefusedConnectionsAreTrackedSeparately(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes  []directory.Outcome
		unreached bool
	}{
		"refused once":                  {[]directory.Outcome{directory.Unreachable}, false},
		"refused twice":                 {[]directory.Outcome{directory.Unreachable, directory.Unreachable}, true},
		"a neutral outcome between":     {[]directory.Outcome{directory.Unreachable, directory.Neutral, directory.Unreachable}, true},
		"an incomplete answer, refused": {[]directory.Outcome{directory.Broken, directory.Unreachable}, false},
		"refused, an incomplete answer": {[]directory.Outcome{directory.Unreachable, directory.Unreachable, directory.Broken}, false},
		"a complete answer in between":  {[]directory.Outcome{directory.Unreachable, directory.Succeeded, directory.Unreachable}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 5)
			for _, outcome := range test.outcomes {
				exchange(d, start, "e", outcome)
			}
			assert.Equal(t, test.unreached, d.Endpoint("e").Health.Unreachable(start))
			assert.False(t, d.Endpoint("e").Health.Unreachable(start.Add(time.Second)), "a trial is due")
		})
	}
}

func TestFailedTrialLengthensEjection(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	exchange(d, start, "e", directory.Broken)
	exchange(d, start, "e", directory.Broken)
	later := start.Add(time.Second)
	exchange(d, later, "e", directory.Broken)
	assert.True(t, d.Endpoint("e").Health.Ejected(later.Add(time.Second)))
	assert.False(t, d.Endpoint("e").Health.Ejected(later.Add(1700*time.Millisecond)))
}

func TestErrorsOfWholeServiceEjectNoEndpoint(t *testing.T) {
	d := directory.New()
	for _, id := range []string{"a", "b", "c"} {
		d.Put(endpoint(id, deployment.Ready), 5)
	}
	for range 20 {
		for _, id := range []string{"a", "b", "c"} {
			exchange(d, start, id, directory.Errored)
		}
	}
	assert.False(t, d.Endpoint("a").Health.Ejected(start))
}

func TestErrorsOfOneEndpointEjectIt(t *testing.T) {
	d := directory.New()
	for _, id := range []string{"a", "b", "c"} {
		d.Put(endpoint(id, deployment.Ready), 5)
	}
	for range 20 {
		exchange(d, start, "a", directory.Errored)
		exchange(d, start, "b", directory.Succeeded)
		exchange(d, start, "c", directory.Succeeded)
	}
	assert.True(t, d.Endpoint("a").Health.Ejected(start))
	assert.False(t, d.Endpoint("b").Health.Ejected(start))
}

func TestNeutralOutcomesDoNotEject(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	for range 10 {
		exchange(d, start, "e", directory.Neutral)
	}
	assert.False(t, d.Endpoint("e").Health.Ejected(start))
	assert.Zero(t, d.Endpoint("e").Load())
	assert.Empty(t, d.Endpoint("e").OwnByAdapter)
}

// TestUnreachableHallIsAvoided covers a network partition between halls: without hall avoidance, each endpoint behind it would have to
// break two exchanges of its own before it is avoided.
func TestUnreachableHallIsAvoided(t *testing.T) {
	d := directory.New()
	for i, id := range []string{"far-1", "far-2", "far-3", "far-4", "near"} {
		described := endpoint(id, deployment.Ready)
		described.Hall = "far"
		if id == "near" {
			described.Hall = "near"
		}
		d.Put(described, int64(i+1))
	}
	now := start
	exchange := func(id deployment.EndpointID, outcome directory.Outcome) {
		d.Begin(now, id, &deployment.Request{})
		d.End(now, id, deployment.Adapter{}, outcome)
	}
	exchange("far-1", directory.Broken)
	exchange("far-2", directory.Broken)
	exchange("far-2", directory.Refused)
	exchange("far-3", directory.Broken)
	assert.False(t, d.Endpoint("far-4").Avoided(now), "an answer in between shows that the hall is reachable")

	exchange("far-1", directory.Broken)
	exchange("far-2", directory.Broken)
	assert.True(t, d.Endpoint("far-4").Avoided(now))
	assert.False(t, d.Endpoint("near").Avoided(now))

	now = now.Add(700 * time.Millisecond)
	assert.False(t, d.Endpoint("far-4").Avoided(now), "the avoidance period is over")
	exchange("far-4", directory.Broken)
	assert.True(t, d.Endpoint("far-4").Avoided(now.Add(time.Second)), "the next avoidance period is longer")

	now = now.Add(2 * time.Second)
	exchange("far-4", directory.Succeeded)
	assert.False(t, d.Endpoint("far-4").Avoided(now))
}

// TestEndpointThatWasGoneGetsNoRequestsBecauseStoreCameBack guards against requests to endpoints that left, and that are listed again only
// because the store came back from a copy.
func TestEndpointThatWasGoneGetsNoRequestsBecauseStoreCameBack(t *testing.T) {
	d := directory.New()
	endpoint := deployment.Endpoint{ID: "i-1", Service: "models", State: deployment.Ready}
	d.Put(endpoint, store.Position(0, 10))
	d.Remove("i-1", store.Position(0, 20))
	d.Put(endpoint, store.Position(1, 10))
	assert.Equal(t, deployment.Draining, d.Endpoint("i-1").State)
	d.Put(endpoint, store.Position(1, 10))
	assert.Equal(t, deployment.Draining, d.Endpoint("i-1").State, "the same description is read again")
	d.Put(endpoint, store.Position(1, 21))
	assert.Equal(t, deployment.Ready, d.Endpoint("i-1").State, "it lives: it wrote its description again")
}
