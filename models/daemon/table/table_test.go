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

func TestACellIsShownAndEncodedByItsKind(t *testing.T) {
	for _, row := range []struct {
		cell  table.Value
		shown string
		coded string
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
		require.Equal(t, row.shown, row.cell.String())
		data, err := json.Marshal(row.cell)
		require.NoError(t, err)
		require.Equal(t, row.coded, string(data))
		var back table.Value
		require.NoError(t, json.Unmarshal(data, &back))
		require.Equal(t, row.cell, back, "%s keeps its kind on the way to another instance", row.coded)
	}
}

func TestAMalformedCellIsAnError(t *testing.T) {
	for _, data := range []string{"[]", "{}", "truth"} {
		require.Error(t, json.Unmarshal([]byte(data), &table.Value{}), "%s", data)
	}
}

func TestNumbersAreOrderedBySizeAndAllElseByText(t *testing.T) {
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

func TestATableFindsItsColumnsAndKeepsItsRowsInOrder(t *testing.T) {
	made := table.Table{Columns: []table.Column{{Name: "name", Kind: table.Text}, {Name: "age", Kind: table.Number}}}
	require.Equal(t, 1, made.Index("age"))
	require.Equal(t, -1, made.Index("Age"))
	made.Add(table.T("b"), table.N(2))
	made.Add(table.T("a"), table.N(1))
	data, err := json.Marshal(made)
	require.NoError(t, err)
	require.Equal(t, `{"columns":[{"name":"name","kind":"text"},{"name":"age","kind":"number"}],"rows":[["b",2],["a",1]]}`, string(data))
	var back table.Table
	require.NoError(t, json.Unmarshal(data, &back))
	require.Equal(t, made, back)
}
