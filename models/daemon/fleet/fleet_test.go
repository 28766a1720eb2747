// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

var deadline = time.Unix(1000, 0)

func TestParseAdapterRef(t *testing.T) {
	for text, ref := range map[string]fleet.AdapterRef{
		"a@1":                   {Name: "a", Version: 1},
		"a@b@20":                {Name: "a@b", Version: 20},
		"a@9223372036854775807": {Name: "a", Version: 1<<63 - 1},
	} {
		got, err := fleet.ParseAdapterRef(text)
		require.NoError(t, err)
		require.Equal(t, ref, got)
		require.Equal(t, text, got.String())
		require.False(t, got.IsZero())
	}
	for _, text := range []string{"", "a", "@1", "a@", "a@0", "a@-1", "a@1.5", "a@ 1", "a@9223372036854775808"} {
		got, err := fleet.ParseAdapterRef(text)
		require.Equal(t, fleet.ErrBadAdapterRef{Text: text}, err)
		require.True(t, got.IsZero())
	}
}

func TestRequestExpired(t *testing.T) {
	for _, row := range []struct {
		deadline, now time.Time
		expired       bool
	}{
		{deadline, deadline.Add(-1), false},
		{deadline, deadline, true},
		{deadline, deadline.Add(time.Hour), true},
		{time.Time{}, deadline, false},
	} {
		require.Equal(t, row.expired, fleet.Request{Deadline: row.deadline}.Expired(row.now), "%s at %s", row.deadline, row.now)
	}
	require.Equal(t, 12, fleet.Request{PromptTokens: 5, OutputTokens: 7}.Tokens())
}

// newEndpoint returns an endpoint with the given base models.
func newEndpoint(name, hall string, bases ...string) fleet.Endpoint {
	return fleet.Endpoint{Name: name, Hall: hall, Bases: bases}
}

// endpointNamesByPool returns the names of the endpoints in each pool.
func endpointNamesByPool(pools []fleet.Pool) map[string][]string {
	out := make(map[string][]string)
	for _, p := range pools {
		for _, e := range p.Endpoints {
			out[p.Name] = append(out[p.Name], e.Name)
		}
	}
	return out
}

func TestBuildPoolsGroupsEndpointsByHallAndSharedBase(t *testing.T) {
	for _, row := range []struct {
		name      string
		endpoints []fleet.Endpoint
		pools     map[string][]string
	}{
		{"no endpoints", nil, map[string][]string{}},
		{"no common base", []fleet.Endpoint{newEndpoint("e1", "h1", "x"), newEndpoint("e2", "h1", "y")}, map[string][]string{"h1/x": {"e1"}, "h1/y": {"e2"}}},
		{"two halls", []fleet.Endpoint{newEndpoint("e1", "h1", "x"), newEndpoint("e2", "h2", "x")}, map[string][]string{"h1/x": {"e1"}, "h2/x": {"e2"}}},
		{"common base", []fleet.Endpoint{newEndpoint("e1", "h1", "y", "x"), newEndpoint("e2", "h1", "x")}, map[string][]string{"h1/x+y": {"e1", "e2"}}},
		{
			"common base through a later endpoint",
			[]fleet.Endpoint{newEndpoint("e1", "h1", "x"), newEndpoint("e2", "h1", "z"), newEndpoint("e3", "h1", "z", "x")},
			map[string][]string{"h1/x+z": {"e1", "e2", "e3"}},
		},
	} {
		got := endpointNamesByPool(fleet.BuildPools(row.endpoints))
		require.Len(t, got, len(row.pools), row.name)
		for pool, endpoints := range row.pools {
			require.ElementsMatch(t, endpoints, got[pool], "%s: %s", row.name, pool)
		}
	}
}

func TestBuildPoolsSortsByNameWithoutModifyingEndpoints(t *testing.T) {
	given := []fleet.Endpoint{newEndpoint("e1", "h2", "y", "x"), newEndpoint("e2", "h1", "x")}
	pools := fleet.BuildPools(given)
	require.Equal(t, "h1/x", pools[0].Name)
	require.Equal(t, "h2/x+y", pools[1].Name)
	require.Equal(t, []string{"y", "x"}, given[0].Bases)
	require.True(t, pools[1].Serves("y"))
	require.False(t, pools[0].Serves("y"))
	require.True(t, given[0].Serves("x"))
	require.False(t, given[1].Serves("y"))
}

func TestPoolChecksFenceRequiresAllEndpoints(t *testing.T) {
	checking, notChecking := fleet.Endpoint{ChecksFence: true}, fleet.Endpoint{}
	require.True(t, fleet.Pool{Endpoints: []fleet.Endpoint{checking, checking}}.ChecksFence())
	require.False(t, fleet.Pool{Endpoints: []fleet.Endpoint{checking, notChecking}}.ChecksFence())
	require.True(t, fleet.Pool{}.ChecksFence())
}

func TestPlainBase(t *testing.T) {
	require.Equal(t, "plain:/search", fleet.PlainBase("/search"))
}

// previousDigest is fleet.Digest of the version that did not number digests.
type previousDigest struct {
	Hall            string              `msgpack:"h"`
	Instances       []fleet.Instance    `msgpack:"i"`
	Placers         []fleet.PoolPlacer  `msgpack:"pl"`
	Pools           []fleet.PoolSummary `msgpack:"p"`
	Revision        int64               `msgpack:"r"`
	HighestRevision int64               `msgpack:"hi"`
	Relayed         bool                `msgpack:"re,omitempty"`
	Speaker         fleet.Instance      `msgpack:"sp"`
	Age             time.Duration       `msgpack:"a,omitempty"`
	WantedSummaries []string            `msgpack:"w,omitempty"`
}

func TestDigestIsCompatibleWithPreviousVersion(t *testing.T) {
	previous := previousDigest{
		Hall: "h2", Placers: []fleet.PoolPlacer{{Pool: "h2/base", Term: 3}}, Revision: 4, HighestRevision: 5, Relayed: true,
		Speaker: fleet.Instance{ID: "j1", Hall: "h2"}, Age: time.Second, WantedSummaries: []string{"h1/base"},
	}
	data, err := msgpack.Marshal(&previous)
	require.NoError(t, err)
	var d fleet.Digest
	require.NoError(t, msgpack.Unmarshal(data, &d))
	require.Equal(t, fleet.Digest{
		Hall: "h2", Placers: previous.Placers, Revision: 4, HighestRevision: 5, Relayed: true, Speaker: previous.Speaker, Age: time.Second, WantedSummaries: previous.WantedSummaries,
	}, d, "a digest of the previous version has no boot and no number")
	relayed, err := msgpack.Marshal(&d)
	require.NoError(t, err)
	require.Equal(t, data, relayed, "a relay must not change the encoding")

	d.Boot, d.Number = 6, 7
	data, err = msgpack.Marshal(&d)
	require.NoError(t, err)
	var decoded previousDigest
	require.NoError(t, msgpack.Unmarshal(data, &decoded))
	require.Equal(t, previous, decoded)
	var current fleet.Digest
	require.NoError(t, msgpack.Unmarshal(data, &current))
	require.Equal(t, d, current)
}
