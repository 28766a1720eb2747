// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/table"
)

func TestValueStringAndJSON(t *testing.T) {
	for _, row := range []struct {
		value     table.Value
		displayed string
		encoded   string
	}{
		{table.T(""), "", `""`},
		{table.T(`a "b"`), `a "b"`, `"a \"b\""`},
		{table.T("true"), "true", `"true"`},
		{table.T("7"), "7", `"7"`},
		{table.N(7), "7", "7"},
		{table.N(int64(-1)), "-1", "-1"},
		{table.N(uint64(1 << 40)), "1099511627776", "1099511627776"},
		{table.N(0.25), "0.25", "0.25"},
		{table.B(true), "true", "true"},
		{table.B(false), "false", "false"},
		{table.D(1500 * time.Millisecond), "1.5", "1.5"},
		{table.D(1499 * time.Microsecond), "0.001", "0.001"},
		{table.D(0), "0", "0"},
	} {
		require.Equal(t, row.displayed, row.value.String())
		data, err := json.Marshal(row.value)
		require.NoError(t, err)
		require.Equal(t, row.encoded, string(data))
		var decoded table.Value
		require.NoError(t, json.Unmarshal(data, &decoded))
		require.Equal(t, row.value, decoded, "%s must keep its kind when it is decoded", row.encoded)
	}
}

func TestValueRejectsMalformedJSON(t *testing.T) {
	for _, data := range []string{"[]", "{}", "truth"} {
		require.Error(t, json.Unmarshal([]byte(data), &table.Value{}), "%s", data)
	}
}

func TestCompare(t *testing.T) {
	for _, row := range []struct {
		a, b  table.Value
		order int
	}{
		{table.N(9), table.N(10), -1},
		{table.N(10), table.N(10), 0},
		{table.T("9"), table.T("10"), 1},
		{table.N(9), table.T("10"), 1},
		{table.T(""), table.N(0), -1},
		{table.B(false), table.B(true), -1},
	} {
		require.Equal(t, row.order, table.Compare(row.a, row.b), "%s and %s", row.a, row.b)
		require.Equal(t, -row.order, table.Compare(row.b, row.a), "%s and %s", row.b, row.a)
	}
}

func TestTableIndexAndRowOrder(t *testing.T) {
	original := table.Table{Columns: []table.Column{{Name: "name", Kind: table.Text}, {Name: "age", Kind: table.Number}}}
	require.Equal(t, 1, original.Index("age"))
	require.Equal(t, -1, original.Index("Age"))
	original.Add(table.T("b"), table.N(2))
	original.Add(table.T("a"), table.N(1))
	data, err := json.Marshal(original)
	require.NoError(t, err)
	require.Equal(t, `{"columns":[{"name":"name","kind":"text"},{"name":"age","kind":"number"}],"rows":[["b",2],["a",1]]}`, string(data))
	var decoded table.Table
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, original, decoded)
}
