// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter = deployment.Adapter{Model: "base", Name: "a1"}
	errLost = errors.New("no answer")
)

func item(key string, revision int64) store.Item {
	return store.Item{Key: key, Value: fmt.Appendf(nil, "%s at %d", key, revision), Revision: revision}
}

func TestOnlyNewerKeysAreNews(t *testing.T) {
	keys := follow.NewKeys()
	assert.Zero(t, keys.Revision())
	assert.True(t, keys.Take(item("k", 5)))
	assert.False(t, keys.Take(item("k", 5)), "told again")
	assert.False(t, keys.Take(item("k", 4)), "an older one that was delayed")
	assert.True(t, keys.Take(item("other", 3)), "another key may be older")
	assert.EqualValues(t, 5, keys.Revision())
	assert.True(t, keys.Take(item("k", 6)))
	assert.EqualValues(t, 6, keys.Revision())

	assert.ElementsMatch(t, []store.Item{item("k", 6), item("other", 3)}, keys.After(2))
	assert.ElementsMatch(t, []store.Item{item("k", 6)}, keys.After(3))
	assert.ElementsMatch(t, []store.Item{item("k", 6)}, keys.After(5))
	assert.Empty(t, keys.After(6))
}

func TestVersionsOnlyGrow(t *testing.T) {
	versions := follow.NewVersions()
	assert.Zero(t, versions.Named(adapter))
	assert.False(t, versions.Name(start, adapter, 0))
	assert.True(t, versions.Name(start, adapter, 2))
	assert.False(t, versions.Name(start.Add(time.Hour), adapter, 2), "told again")
	assert.False(t, versions.Name(start.Add(time.Hour), adapter, 1))
	assert.EqualValues(t, 2, versions.Named(adapter))
	assert.Equal(t, map[deployment.Adapter]int64{adapter: 2}, maps.Collect(versions.All()))
	for range versions.All() {
		break
	}
}

func TestAFormerVersionServesForHalfOfItsLimitLessTheWait(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	assert.Negative(t, versions.FormerWait(start.Add(time.Hour), adapter, limit), "no version is named")
	versions.Name(start, adapter, 3)
	assert.Equal(t, time.Second, versions.FormerWait(start, adapter, limit))
	assert.Equal(t, 400*time.Millisecond, versions.FormerWait(start.Add(600*time.Millisecond), adapter, limit))
	assert.Equal(t, time.Duration(1), versions.FormerWait(start.Add(time.Second-1), adapter, limit))
	assert.Zero(t, versions.FormerWait(start.Add(time.Second), adapter, limit), "from here on, none may begin on it")
	versions.Name(start.Add(500*time.Millisecond), adapter, 3)
	assert.Zero(t, versions.FormerWait(start.Add(time.Second), adapter, limit), "a repeated word puts it off no further")
	versions.Name(start.Add(time.Second), adapter, 4)
	assert.Equal(t, time.Second, versions.FormerWait(start.Add(time.Second), adapter, limit), "a newer version begins its limit anew")
	assert.EqualValues(t, 4, versions.Named(adapter))
}

func TestWhoReadsTheStore(t *testing.T) {
	const long, short = 20 * time.Second, 550 * time.Millisecond
	cases := map[string]struct {
		situation follow.Situation
		endpoints follow.Reader
		wait      time.Duration
	}{
		"a start":                           {follow.Situation{}, follow.ReadByPolling, short},
		"a fresh planner, nothing yet told": {follow.Situation{PlannerFresh: true}, follow.ReadByPolling, long},
		"a fresh planner":                   {follow.Situation{PlannerFresh: true, EndpointsKnown: true}, follow.ReadByPlanner, long},
		"a silent planner":                  {follow.Situation{EndpointsKnown: true}, follow.ReadByPolling, short},
		"the planner itself":                {follow.Situation{Planning: true, EndpointsKnown: true}, follow.ReadByWatching, short},
		"the planner, just heard another":   {follow.Situation{Planning: true, PlannerFresh: true, EndpointsKnown: true}, follow.ReadByWatching, short},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.endpoints, one.situation.Endpoints())
			assert.Equal(t, one.wait, one.situation.ConfigurationWait())
			assert.Equal(t, one.wait == long, one.situation.ReliesOnPlanner())
		})
	}
}

func TestAWatchThatFailsTwiceReadsAnew(t *testing.T) {
	var watch follow.Watch
	assert.Equal(t, follow.Apply, watch.Answered(nil))
	assert.Equal(t, follow.WatchAgain, watch.Answered(errLost))
	assert.Equal(t, follow.Apply, watch.Answered(nil))
	assert.Equal(t, follow.WatchAgain, watch.Answered(errLost), "an answer in between forgives")
	assert.Equal(t, follow.ReadAnew, watch.Answered(errLost))
	watch = follow.Watch{}
	assert.Equal(t, follow.ReadAnew, watch.Answered(fmt.Errorf("watch: %w", store.ErrCompacted)), "what was missed is not told again")
}
