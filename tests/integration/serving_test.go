// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/standin"
)

func TestFleetServesMoreAdaptersThanSlots(t *testing.T) {
	f := newFleet(t, standin.DefaultClusterOptions(), nil, "h1-i1", "h1-i2", "h2-i1")
	f.createAdapters("h1-i1", 40)
	instances := []string{"h1-i1", "h1-i2", "h2-i1"}
	var group sync.WaitGroup
	for i := range 150 {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("r-%d", i)
			version := 1 + i%2
			c := standin.Call{ID: id, Model: fmt.Sprintf("a-%d@%d", i%40, version), Class: "kiosk", Caller: "test", Tokens: 8, NonStreaming: i%5 == 0}
			a := f.sendCall(context.Background(), instances[i%3], c)
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.ErrorCode)
			require.True(t, a.Done)
			require.Equal(t, c.Model, a.Model)
			require.Equal(t, c.ExpectedText(), a.Text)
		}()
	}
	group.Wait()
	require.Empty(t, f.cluster.Violations())
}
