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
		{table.NewText(""), "", `""`},
		{table.NewText(`a "b"`), `a "b"`, `"a \"b\""`},
		{table.NewText("true"), "true", `"true"`},
		{table.NewText("7"), "7", `"7"`},
		{table.NewNumber(7), "7", "7"},
		{table.NewNumber(int64(-1)), "-1", "-1"},
		{table.NewNumber(uint64(1 << 40)), "1099511627776", "1099511627776"},
		{table.NewNumber(0.25), "0.25", "0.25"},
		{table.NewBool(true), "true", "true"},
		{table.NewBool(false), "false", "false"},
		{table.NewSeconds(1500 * time.Millisecond), "1.5", "1.5"},
		{table.NewSeconds(1499 * time.Microsecond), "0.001", "0.001"},
		{table.NewSeconds(0), "0", "0"},
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
		{table.NewNumber(9), table.NewNumber(10), -1},
		{table.NewNumber(10), table.NewNumber(10), 0},
		{table.NewText("9"), table.NewText("10"), 1},
		{table.NewNumber(9), table.NewText("10"), 1},
		{table.NewText(""), table.NewNumber(0), -1},
		{table.NewBool(false), table.NewBool(true), -1},
	} {
		require.Equal(t, row.order, table.Compare(row.a, row.b), "%s and %s", row.a, row.b)
		require.Equal(t, -row.order, table.Compare(row.b, row.a), "%s and %s", row.b, row.a)
	}
}

func TestTableIndexAndRowOrder(t *testing.T) {
	original := table.Table{Columns: []table.Column{{Name: "name", Kind: table.Text}, {Name: "age", Kind: table.Number}}}
	require.Equal(t, 1, original.Index("age"))
	require.Equal(t, -1, original.Index("Age"))
	original.Add(table.NewText("b"), table.NewNumber(2))
	original.Add(table.NewText("a"), table.NewNumber(1))
	data, err := json.Marshal(original)
	require.NoError(t, err)
	require.Equal(t, `{"columns":[{"name":"name","kind":"text"},{"name":"age","kind":"number"}],"rows":[["b",2],["a",1]]}`, string(data))
	var decoded table.Table
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, original, decoded)
}
