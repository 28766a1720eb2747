// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/platform"
)

// TestEndpointsOfBenchmarkCanBeRead guards against a benchmark that writes entries which the entry program ignores: it stopped in its first
// step, and no one noticed, since tests only compile benchmarks.
func TestEndpointsOfBenchmarkCanBeRead(t *testing.T) {
	for number := range entryEndpoints {
		value, err := json.Marshal(endpointValue(number))
		require.NoError(t, err)
		endpoint, err := platform.ParseEndpoint(store.Item{Key: "servers/" + string(entryEndpointID(number)), Value: value})
		require.NoError(t, err)
		expected := newEntryEndpoint(number)
		assert.Equal(t, expected.ID, endpoint.ID)
		assert.Len(t, endpoint.Adapters, adaptersPerEndpoint)
	}
}
