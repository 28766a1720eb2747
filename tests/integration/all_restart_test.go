// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/standin"
)

// TestReadyInstanceKnowsAdaptersAfterAllInstancesRestarted guards against requests for adapters that exist being answered as unknown, since every
// instance that knew the configuration was lost.
func TestReadyInstanceKnowsAdaptersAfterAllInstancesRestarted(t *testing.T) {
	const observation = 3 * time.Second
	ids := []string{"h1-i1", "h1-i2"}
	for name, faults := range map[string]standin.KVFaults{
		"the key-value service answers": {},
		"the key-value service is down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, oneHallOptions(), nil, ids...)
			f.createAdapters("h1-i1", 2)
			f.cluster.KV.SetFaults(faults)
			for _, id := range ids {
				f.killDaemon(id)
			}
			for _, id := range ids {
				f.startDaemon(id)
			}
			f.publishList()
			unknown, sent := 0, 0
			for begin := time.Now(); time.Since(begin) < observation; time.Sleep(20 * time.Millisecond) {
				for _, id := range ids {
					if !f.daemons[id].Ready() {
						continue
					}
					sent++
					c := standin.Call{ID: fmt.Sprintf("r-%d", sent), Model: "a-1@1", Class: "kiosk", Caller: "test", Tokens: 3}
					if f.sendCall(context.Background(), id, c).Status == http.StatusNotFound {
						unknown++
					}
				}
			}
			assert.Zero(t, unknown, "of %d requests", sent)
		})
	}
}

// TestInstancesServeTogetherAfterAllRestartedAtOtherAddresses guards against instances that know each other's former addresses alone, and own the same
// pools.
func TestInstancesServeTogetherAfterAllRestartedAtOtherAddresses(t *testing.T) {
	const observation = 3 * time.Second
	ids := []string{"h1-i1", "h1-i2"}
	f := newFleet(t, oneHallOptions(), nil, ids...)
	f.createAdapters("h1-i1", 2)
	for _, id := range ids {
		f.killDaemon(id)
	}
	for _, id := range ids {
		f.startDaemon(id)
	}
	time.Sleep(formerListTime)
	f.publishList()
	for _, id := range ids {
		f.waitReady(id)
	}
	f.waitFor(func() bool { return f.serves(ids[0]) && f.serves(ids[1]) }, "not served by all instances")
	for begin := time.Now(); time.Since(begin) < observation; time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			require.True(t, f.serves(id), "instance %s", id)
		}
	}
}

// formerListTime is how long the platform's list still has the former addresses of restarted instances.
const formerListTime = time.Second

// serves reports whether an instance serves a request.
func (f *testFleet) serves(id string) bool {
	f.sent++
	c := standin.Call{ID: fmt.Sprintf("s-%d", f.sent), Model: "a-1@1", Class: "kiosk", Caller: "test", Tokens: 3}
	return f.sendCall(context.Background(), id, c).Status == http.StatusOK
}

// TestInstanceWithoutConfigurationRefusesRequests guards against an instance that never read the configuration answering for it.
func TestInstanceWithoutConfigurationRefusesRequests(t *testing.T) {
	ids := []string{"h1-i1", "h1-i2"}
	f := newFleet(t, oneHallOptions(), nil, ids...)
	f.createAdapters("h1-i1", 2)
	f.cluster.KV.SetFaults(standin.KVFaults{Down: true})
	for _, id := range ids {
		f.killDaemon(id)
	}
	for _, id := range ids {
		f.startDaemon(id)
	}
	f.publishList()
	c := standin.Call{ID: "r", Model: "a-1@1", Class: "kiosk", Caller: "test", Tokens: 3}
	for _, id := range ids {
		require.Equal(t, http.StatusServiceUnavailable, f.sendCall(context.Background(), id, c).Status)
		require.False(t, f.daemons[id].Ready())
	}
	f.cluster.KV.SetFaults(standin.KVFaults{})
	for _, id := range ids {
		f.waitReady(id)
		require.NotEqual(t, http.StatusNotFound, f.sendCall(context.Background(), id, c).Status)
	}
}

// TestInstanceLearnsConfigurationFromPeerDuringKVOutage guards against an instance that waits for the key-value service though its hall knows
// the configuration.
func TestInstanceLearnsConfigurationFromPeerDuringKVOutage(t *testing.T) {
	ids := []string{"h1-i1", "h1-i2", "h1-i3"}
	for _, id := range ids {
		t.Run(id, func(t *testing.T) {
			f := newFleet(t, oneHallOptions(), nil, ids...)
			f.createAdapters(id, 2)
			f.cluster.KV.SetFaults(standin.KVFaults{Down: true})
			f.killDaemon(id)
			f.startDaemon(id)
			f.publishList()
			f.waitReady(id)
			c := standin.Call{ID: "r", Model: "a-1@1", Class: "kiosk", Caller: "test", Tokens: 3}
			require.Equal(t, http.StatusOK, f.sendCall(context.Background(), id, c).Status)
		})
	}
}
