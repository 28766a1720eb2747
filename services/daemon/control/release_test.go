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

// TestAReleaseThatFailedIsMadeUpFor gives pool x up while the key-value service does not answer, and goes on to own
// pool y, whose renewals keep the lease that the key of x is bound to alive.
func TestAReleaseThatFailedIsMadeUpFor(t *testing.T) {
	var down atomic.Bool
	var refused atomic.Int64
	key := base64.StdEncoding.EncodeToString([]byte(leaseOfX))
	client := failing(t, func(path, body string) bool {
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
	w := newWorldOf(t, unfenced(), client)
	go func() {
		for {
			select {
			case <-w.calls:
				// The endpoints are of no interest here.
			case <-w.Done():
				return
			}
		}
	}()
	w.advance(settled)
	require.Eventually(t, func() bool { return held(leaseOfX) && held(leaseOfY) }, timeout, time.Millisecond)
	down.Store(true)
	w.Receive(heartbeatOfI2())
	require.Eventually(t, func() bool { return refused.Load() > 0 }, timeout, time.Millisecond)
	down.Store(false)
	require.True(t, held(leaseOfX))
	require.Eventually(t, func() bool {
		// Without heartbeats the successor would be lost, and the pool rightly taken back.
		w.Receive(heartbeatOfI2())
		w.advance(100 * time.Millisecond)
		return !held(leaseOfX)
	}, timeout, 10*time.Millisecond, "the successor cannot own the pool")
	require.True(t, held(leaseOfY))
}
