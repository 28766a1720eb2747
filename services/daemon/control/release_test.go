// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import (
	"context"
	"encoding/base64"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailedReleaseIsRepeated releases pool x while the key-value service fails, and continues to own pool y. The renewals
// for pool y keep the lease alive, and with it the key of pool x, so the release must be repeated.
func TestFailedReleaseIsRepeated(t *testing.T) {
	var down atomic.Bool
	var refused atomic.Int64
	key := base64.StdEncoding.EncodeToString([]byte(leaseOfX))
	client := failingKV(t, func(path, body string) bool {
		if !down.Load() || path != "/v3/kv/range" || !strings.Contains(body, key) {
			return false
		}
		refused.Add(1)
		return true
	})
	ctx := context.Background()
	held := func(key string) bool {
		_, found, err := client.Get(ctx, key)
		return err == nil && found
	}
	w := newHarnessWithEndpoints(t, unfencedEndpoints(), client)
	go func() {
		for {
			select {
			case <-w.calls:
				// Discards the calls to the endpoints, which this test does not check.
			case <-w.Done():
				return
			}
		}
	}()
	w.advance(takeoverDelay)
	require.Eventually(t, func() bool { return held(leaseOfX) && held(leaseOfY) }, timeout, time.Millisecond)
	down.Store(true)
	w.Receive(heartbeatOfI2())
	require.Eventually(t, func() bool { return refused.Load() > 0 }, timeout, time.Millisecond)
	down.Store(false)
	require.True(t, held(leaseOfX))
	require.Eventually(t, func() bool {
		// Without heartbeats the successor would count as lost, and the service would take the pool over again.
		w.Receive(heartbeatOfI2())
		w.advance(100 * time.Millisecond)
		return !held(leaseOfX)
	}, timeout, 10*time.Millisecond, "the successor cannot own the pool")
	require.True(t, held(leaseOfY))
}
