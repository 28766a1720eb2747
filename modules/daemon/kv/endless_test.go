// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/tests/endless"
)

// maxAnswerBytes is how many bytes of an answer of the service are read.
const maxAnswerBytes = 32 << 20

// TestCallGivesUpAnswerWithoutEnd guards against a key-value service that takes a daemon's memory.
func TestCallGivesUpAnswerWithoutEnd(t *testing.T) {
	for name, answer := range endless.Heads() {
		t.Run(name, func(t *testing.T) { requireCallGivenUp(t, answer, 0) })
	}
	for name, answer := range endless.Bodies(`{"header":{},"x":"`, "a") {
		t.Run(name, func(t *testing.T) { requireCallGivenUp(t, answer, maxAnswerBytes) })
	}
}

// requireCallGivenUp checks that a transaction ends soon with an unknown outcome.
func requireCallGivenUp(t *testing.T, answer endless.Answer, maxBytes int) {
	server := endless.Start(t, answer)
	client := kv.New(kv.Options{Timeout: endless.CallTime, Addresses: []netip.AddrPort{server.Address}})
	started := time.Now()
	err := putKey(client)
	require.True(t, kv.IsErrOutcomeUnknown(err), "%v", err)
	require.Less(t, time.Since(started), endless.JudgedWithin)
	server.RequireGivenUp(t, maxBytes)
}

// TestWatchGivesUpMessageWithoutEnd guards against a key-value service that takes a daemon's memory by a message of a watch.
func TestWatchGivesUpMessageWithoutEnd(t *testing.T) {
	const created = `{"result": {"created": true}}`
	for name, answer := range endless.Bodies(created+`{"result": {"x":"`, "a") {
		t.Run(name, func(t *testing.T) {
			server := endless.Start(t, answer)
			client := kv.New(kv.Options{Addresses: []netip.AddrPort{server.Address}})
			ctx, cancel := context.WithTimeout(t.Context(), endless.CallTime)
			defer cancel()
			started := time.Now()
			err := client.Watch(ctx, "k", 1, func(kv.WatchEvent) bool { return true })
			require.True(t, kv.IsErrNotDone(err), "%v", err)
			require.Less(t, time.Since(started), endless.JudgedWithin)
			server.RequireGivenUp(t, maxAnswerBytes)
		})
	}
}

// TestWatchOutlastsBoundOfMessage guards against a bound of a message that ends watches with many.
func TestWatchOutlastsBoundOfMessage(t *testing.T) {
	event := fmt.Sprintf(`{"result": {"events": [{"kv": {"key": "aw==", "value": "%s"}}]}}`, strings.Repeat("YWFh", 8<<10))
	server := endless.Start(t, endless.Bodies(event, event)["body in chunks"])
	client := kv.New(kv.Options{Addresses: []netip.AddrPort{server.Address}})
	events := 5 * maxAnswerBytes / 4 / len(event)
	seen := 0
	err := client.Watch(t.Context(), "k", 1, func(kv.WatchEvent) bool {
		seen++
		return seen < events
	})
	require.NoError(t, err)
	require.Equal(t, events, seen)
}
