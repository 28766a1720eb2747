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
	checkGoldenJSON[operator.RunRequest](t, "operator_request.json")
	checkGoldenJSON[operator.RunResponse](t, "operator_response.json")
	checkGoldenJSON[instancelist.List](t, "instance_list.json")
	checkGoldenJSON[kv.RangeRequest](t, "kv_range_request.json")
	checkGoldenJSON[kv.RangeResponse](t, "kv_range_response.json")
	checkGoldenJSON[kv.TxnRequest](t, "kv_txn_request.json")
	checkGoldenJSON[kv.TxnResponse](t, "kv_txn_response.json")
	checkGoldenJSON[kv.LeaseGrantRequest](t, "kv_grant_request.json")
	checkGoldenJSON[kv.LeaseResponse](t, "kv_lease_response.json")
	checkGoldenJSON[kv.LeaseRequest](t, "kv_lease_request.json")
	checkGoldenJSON[kv.KeepAliveResponse](t, "kv_keepalive_response.json")
	checkGoldenJSON[kv.WatchRequest](t, "kv_watch_request.json")
	checkGoldenJSON[kv.WatchResponse](t, "kv_watch_response.json")
}

func compressZstd(t *testing.T, plain []byte) []byte {
	t.Helper()
	e, err := zstd.NewWriter(nil)
	require.NoError(t, err)
	return e.EncodeAll(plain, nil)
}

func decompressZstd(t *testing.T, data []byte) []byte {
	t.Helper()
	d, err := zstd.NewReader(nil)
	require.NoError(t, err)
	defer d.Close()
	plain, err := d.DecodeAll(data, nil)
	require.NoError(t, err)
	return plain
}

func compactJSON(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, json.Compact(&out, data))
	return out.Bytes()
}

func TestStoredRecord(t *testing.T) {
	checkGoldenJSON[catalog.Record](t, "record.json")
	plain := compactJSON(t, readGolden(t, "record.json"))
	r, err := catalog.DecodeRecord(compressZstd(t, plain))
	require.NoError(t, err)
	data, err := catalog.EncodeRecord(r)
	require.NoError(t, err)
	require.Equal(t, string(plain), string(decompressZstd(t, data)))
}

func TestStoredSnapshot(t *testing.T) {
	plain := compactJSON(t, readGolden(t, "snapshot.json"))
	c, err := catalog.DecodeSnapshot(compressZstd(t, plain))
	require.NoError(t, err)
	data, err := catalog.EncodeSnapshot(c)
	require.NoError(t, err)
	require.Equal(t, string(plain), string(decompressZstd(t, data)))
}
