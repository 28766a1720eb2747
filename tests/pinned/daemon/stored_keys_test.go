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

// stored gives the values under a part of the keys in a form that people read.
func stored(t *testing.T, pairs map[string]kv.Pair, part string) map[string]any {
	t.Helper()
	out := make(map[string]any)
	for key, pair := range pairs {
		if strings.Contains(key, part) {
			out[key] = readableValue(t, key, pair.Value)
		}
	}
	require.NotEmpty(t, out)
	return out
}

// readableValue unfolds a stored value; times are masked by one that can be read again.
func readableValue(t *testing.T, key string, value []byte) any {
	t.Helper()
	switch {
	case strings.Contains(key, "/once/"):
		return string(value)
	case strings.Contains(key, "/config/log/"), strings.Contains(key, "/config/snapshot/"):
		value = unfolded(t, value)
	}
	var out any
	require.NoError(t, json.Unmarshal([]byte(masked(string(value))), &out), key)
	if fields, ok := out.(map[string]any); ok && strings.HasSuffix(key, "/config/head") {
		var last []byte
		require.NoError(t, json.Unmarshal(fmt.Appendf(nil, "%q", fields["last"]), &last))
		fields["last"] = readableValue(t, "/config/log/", last)
	}
	return out
}

// storedPairs turns a pinned file back into what the key-value service holds.
func storedPairs(t *testing.T, name string) map[string]kv.Pair {
	t.Helper()
	var values map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(pinned(t, name), &values))
	out := make(map[string]kv.Pair)
	for key, value := range values {
		value = compact(t, value)
		if strings.HasSuffix(key, "/config/head") {
			var fields map[string]json.RawMessage
			require.NoError(t, json.Unmarshal(value, &fields))
			last, err := json.Marshal(compressed(t, fields["last"]))
			require.NoError(t, err)
			fields["last"] = last
			value, err = json.Marshal(fields)
			require.NoError(t, err)
		} else {
			value = compressed(t, value)
		}
		out[key] = kv.Pair{Key: []byte(key), Value: value, CreateRevision: 1, ModRevision: 1, Version: 1}
	}
	return out
}

// shown are the tables of a configuration.
const shown = "show adapters; show versions; show services; show rules; show classes; show revisions"

func TestStoredConfigurationIsRead(t *testing.T) {
	parallel(t)
	for _, name := range []string{"stored_configuration.json", "stored_snapshot.json"} {
		r := run(t, 0, storedPairs(t, name))
		r.waitReady()
		pin(t, strings.Replace(name, "stored", "shown", 1), r.say("admin", "", shown))
	}
}

func TestStoredSnapshotAndItsKeys(t *testing.T) {
	parallel(t)
	r := run(t, 0, nil)
	r.waitReady()
	first := `create adapter fare-1 base base-a version 1 source x; create adapter fare-2 base base-a version 1; create version fare-2@2; retire version fare-2@2;
		create service desk as fare-1@1 90%, fare-2 10%; create rule night for class overnight and caller 'test-*' and base base-a and adapter 'fare-*'
		and hall h1 between 22:00 and 06:00 in Africa/Dakar run in h1+h2, priority 1, refuse; set class kiosk priority 10 weight 4 queue 400000 patient;
		preload fare-1@1; drain endpoint h1-e1; set budget 3 loads per second 2 at once`
	a := r.say("admin", "first", first)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	// Enough revisions that a snapshot is written.
	const rounds = 101
	body, err := json.Marshal(map[string]any{"text": strings.Repeat("pin fare-1@1; show classes; unpin fare-1@1; show classes;", rounds), "id": "many", "wait_ms": 1})
	require.NoError(t, err)
	a = r.post("admin", string(body))
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	a = r.say("admin", "last", "pin fare-1@1")
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	all := stored(t, r.cluster.KV.Dump(), "/config/")
	snapshots := 0
	for key := range all {
		if strings.Contains(key, "/config/snapshot/") {
			snapshots++
		}
	}
	require.Equal(t, 1, snapshots, "no snapshot is stored")
	for key := range all {
		// Records before the snapshot are only history.
		if strings.Contains(key, "/config/log/") && key < "/shelfledge/config/log/0000000000000201" {
			delete(all, key)
		}
	}
	pin(t, "stored_snapshot.json", all)
}

func TestStoredOwnersAndClaims(t *testing.T) {
	parallel(t)
	const owner, lease = "/shelfledge/owner/h1/base-a", "/shelfledge/lease/h1/base-a"
	former := `{"holder":"h1-i9","boot":7,"formers":[{"ID":"h1-i8","Boot":6}]}`
	r := run(t, 1, map[string]kv.Pair{owner: {Key: []byte(owner), Value: []byte(former), CreateRevision: 1, ModRevision: 1, Version: 1}})
	var pairs map[string]kv.Pair
	r.waitFor(func() bool {
		pairs = r.cluster.KV.Dump()
		return pairs[lease].Lease != 0
	}, "the pool is not owned")
	out := make(map[string]any)
	for _, key := range []string{owner, lease} {
		out[key] = string(regexp.MustCompile(`"boot":\d{6,}`).ReplaceAll(pairs[key].Value, []byte(`"boot":1`)))
	}
	claimed := run(t, 0, nil)
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
			require.NotZero(t, pair.Lease, "a claim is bound to no lease")
			out[key] = regexp.MustCompile(`\.\d{10,}/[0-9a-z]+$`).ReplaceAllString(string(pair.Value), ".LIFE/SERIAL")
		}
	}
	pin(t, "stored_owners_and_claims.json", out)
}
