// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// readableStoredValues returns the decoded values of the pairs whose keys contain part.
func readableStoredValues(t *testing.T, pairs map[string]kv.Pair, part string) map[string]any {
	t.Helper()
	out := make(map[string]any)
	for key, pair := range pairs {
		if strings.Contains(key, part) {
			out[key] = decodeStoredValue(t, key, pair.Value)
		}
	}
	require.NotEmpty(t, out)
	return out
}

// decodeStoredValue decodes a stored value. It masks times with a fixed valid time, so that the daemon can read the value back.
func decodeStoredValue(t *testing.T, key string, value []byte) any {
	t.Helper()
	switch {
	case strings.Contains(key, "/once/"):
		return string(value)
	case strings.Contains(key, "/config/log/"), strings.Contains(key, "/config/snapshot/"):
		value = decompressZstd(t, value)
	}
	var out any
	require.NoError(t, json.Unmarshal([]byte(maskVarying(string(value))), &out), key)
	if fields, ok := out.(map[string]any); ok && strings.HasSuffix(key, "/config/head") {
		var last []byte
		require.NoError(t, json.Unmarshal(fmt.Appendf(nil, "%q", fields["last"]), &last))
		fields["last"] = decodeStoredValue(t, "/config/log/", last)
	}
	return out
}

// encodeStoredPairs converts a golden file back to the pairs that the key-value service stores.
func encodeStoredPairs(t *testing.T, name string) map[string]kv.Pair {
	t.Helper()
	var values map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(readGolden(t, name), &values))
	out := make(map[string]kv.Pair)
	for key, value := range values {
		value = compactJSON(t, value)
		if strings.HasSuffix(key, "/config/head") {
			var fields map[string]json.RawMessage
			require.NoError(t, json.Unmarshal(value, &fields))
			last, err := json.Marshal(compressZstd(t, fields["last"]))
			require.NoError(t, err)
			fields["last"] = last
			value, err = json.Marshal(fields)
			require.NoError(t, err)
		} else {
			value = compressZstd(t, value)
		}
		out[key] = kv.Pair{Key: []byte(key), Value: value, CreateRevision: 1, ModRevision: 1, Version: 1}
	}
	return out
}

// showStatements has the statements that show all tables of a configuration.
const showStatements = "show adapters; show versions; show services; show rules; show classes; show revisions"

func TestStoredConfigurationIsRead(t *testing.T) {
	parallelUnlessUpdate(t)
	for _, name := range []string{"stored_configuration.json", "stored_snapshot.json"} {
		r := startDaemon(t, 0, encodeStoredPairs(t, name))
		r.waitReady()
		checkGolden(t, strings.Replace(name, "stored", "shown", 1), r.runStatements("admin", "", showStatements))
	}
}

func TestStoredSnapshotAndItsKeys(t *testing.T) {
	parallelUnlessUpdate(t)
	r := startDaemon(t, 0, nil)
	r.waitReady()
	first := `create adapter fare-1 base base-a version 1 source x; create adapter fare-2 base base-a version 1; create version fare-2@2; retire version fare-2@2;
		create service desk as fare-1@1 90%, fare-2 10%; create rule night for class overnight and caller 'test-*' and base base-a and adapter 'fare-*'
		and hall h1 between 22:00 and 06:00 in Africa/Dakar run in h1+h2, priority 1, refuse; set class kiosk priority 10 weight 4 queue 400000 patient;
		preload fare-1@1; drain endpoint h1-e1; set budget 3 loads per second 2 at once`
	a := r.runStatements("admin", "first", first)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	// Enough revisions for the daemon to write a snapshot.
	const rounds = 101
	body, err := json.Marshal(map[string]any{"text": strings.Repeat("pin fare-1@1; show classes; unpin fare-1@1; show classes;", rounds), "id": "many", "wait_ms": 1})
	require.NoError(t, err)
	a = r.postRun("admin", string(body))
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	a = r.runStatements("admin", "last", "pin fare-1@1")
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	values := readableStoredValues(t, r.cluster.KV.Dump(), "/config/")
	snapshots := 0
	for key := range values {
		if strings.Contains(key, "/config/snapshot/") {
			snapshots++
		}
	}
	require.Equal(t, 1, snapshots, "number of stored snapshots")
	for key := range values {
		// The daemon does not need log records from before the snapshot.
		if strings.Contains(key, "/config/log/") && key < "/shelfledge/config/log/0000000000000201" {
			delete(values, key)
		}
	}
	checkGolden(t, "stored_snapshot.json", values)
}

func TestStoredOwnersAndClaims(t *testing.T) {
	parallelUnlessUpdate(t)
	const owner, lease = "/shelfledge/owner/h1/base-a", "/shelfledge/lease/h1/base-a"
	former := `{"holder":"h1-i9","boot":7,"formers":[{"ID":"h1-i8","Boot":6}]}`
	r := startDaemon(t, 1, map[string]kv.Pair{owner: {Key: []byte(owner), Value: []byte(former), CreateRevision: 1, ModRevision: 1, Version: 1}})
	var pairs map[string]kv.Pair
	r.waitFor(func() bool {
		pairs = r.cluster.KV.Dump()
		return pairs[lease].Lease != 0
	}, "the pool is not owned")
	out := make(map[string]any)
	for _, key := range []string{owner, lease} {
		out[key] = string(regexp.MustCompile(`"boot":\d{6,}`).ReplaceAll(pairs[key].Value, []byte(`"boot":1`)))
	}
	claimed := startDaemon(t, 0, nil)
	claimed.waitReady()
	q, err := http.NewRequest(http.MethodPost, claimed.callers+"/tickets/cabin", bytes.NewReader([]byte("book")))
	require.NoError(t, err)
	q.Header.Set("X-Caller", "hall-desk")
	q.Header.Set("X-Request-Id", "pay-1")
	claimed.waitFor(func() bool {
		resp, err := http.DefaultClient.Do(q.Clone(t.Context()))
		require.NoError(t, err)
		_ = resp.Body.Close()
		for key := range claimed.cluster.KV.Dump() {
			if strings.Contains(key, "/once/") {
				return true
			}
		}
		return false
	}, "no claim is stored")
	for key, pair := range claimed.cluster.KV.Dump() {
		if strings.Contains(key, "/once/") {
			require.NotZero(t, pair.Lease, "claim has no lease")
			out[key] = regexp.MustCompile(`\.\d{10,}/[0-9a-z]+$`).ReplaceAllString(string(pair.Value), ".LIFE/SERIAL")
		}
	}
	checkGolden(t, "stored_owners_and_claims.json", out)
}
