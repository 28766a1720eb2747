// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
)

func TestWireTypes(t *testing.T) {
	pinJSON[operator.RunRequest](t, "operator_request.json")
	pinJSON[operator.RunResponse](t, "operator_response.json")
	pinJSON[instancelist.List](t, "instance_list.json")
	pinJSON[kv.RangeRequest](t, "kv_range_request.json")
	pinJSON[kv.RangeResponse](t, "kv_range_response.json")
	pinJSON[kv.TxnRequest](t, "kv_txn_request.json")
	pinJSON[kv.TxnResponse](t, "kv_txn_response.json")
	pinJSON[kv.LeaseGrantRequest](t, "kv_grant_request.json")
	pinJSON[kv.LeaseResponse](t, "kv_lease_response.json")
	pinJSON[kv.LeaseRequest](t, "kv_lease_request.json")
	pinJSON[kv.KeepAliveResponse](t, "kv_keepalive_response.json")
	pinJSON[kv.WatchRequest](t, "kv_watch_request.json")
	pinJSON[kv.WatchResponse](t, "kv_watch_response.json")
}

func compressed(t *testing.T, plain []byte) []byte {
	t.Helper()
	e, err := zstd.NewWriter(nil)
	require.NoError(t, err)
	return e.EncodeAll(plain, nil)
}

func unfolded(t *testing.T, data []byte) []byte {
	t.Helper()
	d, err := zstd.NewReader(nil)
	require.NoError(t, err)
	defer d.Close()
	plain, err := d.DecodeAll(data, nil)
	require.NoError(t, err)
	return plain
}

func compact(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, json.Compact(&out, data))
	return out.Bytes()
}

func TestStoredRecord(t *testing.T) {
	pinJSON[catalog.Record](t, "record.json")
	plain := compact(t, pinned(t, "record.json"))
	r, err := catalog.DecodeRecord(compressed(t, plain))
	require.NoError(t, err)
	data, err := catalog.EncodeRecord(r)
	require.NoError(t, err)
	require.Equal(t, string(plain), string(unfolded(t, data)))
}

func TestStoredSnapshot(t *testing.T) {
	plain := compact(t, pinned(t, "snapshot.json"))
	c, err := catalog.DecodeSnapshot(compressed(t, plain))
	require.NoError(t, err)
	data, err := catalog.EncodeSnapshot(c)
	require.NoError(t, err)
	require.Equal(t, string(plain), string(unfolded(t, data)))
}
