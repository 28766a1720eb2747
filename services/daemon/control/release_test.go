// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
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

// mayUnload reports whether the service has processed both answers that permit it to unload adapters from an endpoint without fences: the
// endpoint's to the takeover, and the key-value service's to the request for the pool. The pool's key exists before the latter arrives.
func (w *harness) mayUnload(endpoint string) bool {
	may := false
	w.View(func(now time.Time, n *node.Node) {
		for _, pool := range n.Pools(now) {
			may = may || slices.ContainsFunc(pool.Endpoints, func(e placement.EndpointView) bool {
				return e.Endpoint == endpoint && e.Up && !e.Frozen
			})
		}
	})
	return may
}

// TestPoolIsReleasedOnceItsUnloadIsAnswered guards against an unload that arrives at an endpoint without fences beside a request to which
// the next owner of the pool granted the adapter.
func TestPoolIsReleasedOnceItsUnloadIsAnswered(t *testing.T) {
	client := failingKV(t, func(string, string) bool { return false })
	unloading, answered := make(chan struct{}), make(chan struct{})
	answer := sync.OnceFunc(func() { close(answered) })
	defer answer()
	w := newHarnessWith(t, func(o *control.Options) {
		o.Node.Endpoints, o.KV = unfencedEndpoints(), client
		o.Dialect.Unload = func(context.Context, engine.Order) error {
			close(unloading)
			<-answered
			return nil
		}
	}, b)
	held := func() bool {
		_, found, err := client.Get(context.Background(), leaseOfX)
		return err == nil && found
	}
	w.advance(takeoverDelay)
	require.Eventually(t, func() bool { return held() && w.mayUnload("e1") }, timeout, time.Millisecond)
	w.Submit(fleet.Request{ID: "q", Base: "x", Adapter: a})
	select {
	case <-unloading:
	case <-time.After(timeout):
		require.Fail(t, "no unload order")
	}
	w.Receive(heartbeatOfI2())
	require.Never(t, func() bool { return !held() }, 200*time.Millisecond, 10*time.Millisecond, "the unload may still arrive")
	answer()
	require.Eventually(t, func() bool { return !held() }, timeout, time.Millisecond)
}
