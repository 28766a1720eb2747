// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

func sampleTable() *table.Table {
	t := &table.Table{Columns: []table.Column{
		{Name: "name", Kind: table.Text}, {Name: "hall", Kind: table.Text}, {Name: "slots", Kind: table.Number}, {Name: "up", Kind: table.Bool},
	}}
	t.Add(table.NewText("e1"), table.NewText("h1"), table.NewNumber(9), table.NewBool(true))
	t.Add(table.NewText("e2"), table.NewText("h1"), table.NewNumber(10), table.NewBool(false))
	t.Add(table.NewText("e10"), table.NewText("h2"), table.NewNumber(100), table.NewBool(true))
	return t
}

// evaluateQuery parses the text of a query and evaluates it over the sample table.
func evaluateQuery(t *testing.T, text string) (*table.Table, error) {
	t.Helper()
	statements, err := language.Parse(text)
	require.NoError(t, err, text)
	require.Len(t, statements, 1)
	require.NotNil(t, statements[0].Show, text)
	return query.Evaluate(statements[0].Show, sampleTable())
}

// firstColumn returns the values of the first column as text.
func firstColumn(t *table.Table) []string {
	out := []string{}
	for _, row := range t.Rows {
		out = append(out, row[0].String())
	}
	return out
}

func TestConditionsSelectRows(t *testing.T) {
	for _, c := range []struct {
		where string
		want  []string
	}{
		{"name = e1", []string{"e1"}},
		{"name != e1", []string{"e2", "e10"}},
		{"slots < 10", []string{"e1"}},
		{"slots <= 10", []string{"e1", "e2"}},
		{"slots > 10", []string{"e10"}},
		{"slots >= 10", []string{"e2", "e10"}},
		{"slots = 10.0", []string{"e2"}},
		{"up = true", []string{"e1", "e10"}},
		{"name like e1*", []string{"e1", "e10"}},
		{"name like e?", []string{"e1", "e2"}},
		{"NAME = e2", []string{"e2"}},
		{"hall = h1 and up = true", []string{"e1"}},
		{"hall = h2 or up = false", []string{"e2", "e10"}},
		{"hall = h1 and up = true or slots = 100", []string{"e1", "e10"}},
		{"hall = h1 and ( up = true or slots = 100 )", []string{"e1"}},
		{"not hall = h1", []string{"e10"}},
		{"not ( hall = h1 and up = true )", []string{"e2", "e10"}},
		{"name = none", []string{}},
	} {
		out, err := evaluateQuery(t, "show endpoints where "+c.where)
		require.NoError(t, err, c.where)
		require.Equal(t, c.want, firstColumn(out), c.where)
	}
}

func TestTextsCompareLexicallyAndNumbersByValue(t *testing.T) {
	out, err := evaluateQuery(t, "show endpoints where name < e2")
	require.NoError(t, err)
	require.Equal(t, []string{"e1", "e10"}, firstColumn(out))
	out, err = evaluateQuery(t, "show endpoints where slots < 100")
	require.NoError(t, err)
	require.Equal(t, []string{"e1", "e2"}, firstColumn(out))
}

func TestOrderSortsByEachColumnAndLimitTruncates(t *testing.T) {
	for text, want := range map[string][]string{
		"show endpoints order by slots desc":                   {"e10", "e2", "e1"},
		"show endpoints order by hall desc , slots":            {"e10", "e1", "e2"},
		"show endpoints order by hall , slots desc":            {"e2", "e1", "e10"},
		"show endpoints order by slots desc limit 2":           {"e10", "e2"},
		"show endpoints limit 0":                               {},
		"show endpoints limit 4":                               {"e1", "e2", "e10"},
		"show endpoints where up = true order by name limit 1": {"e1"},
	} {
		out, err := evaluateQuery(t, text)
		require.NoError(t, err, text)
		require.Equal(t, want, firstColumn(out), text)
	}
}

func TestCountAndGroupByCountRows(t *testing.T) {
	out, err := evaluateQuery(t, "show count endpoints where up = true")
	require.NoError(t, err)
	require.Equal(t, []table.Column{{Name: "count", Kind: table.Number}}, out.Columns)
	require.Equal(t, [][]table.Value{{table.NewNumber(2)}}, out.Rows)

	out, err = evaluateQuery(t, "show endpoints group by hall")
	require.NoError(t, err)
	require.Equal(t, [][]table.Value{{table.NewText("h1"), table.NewNumber(2)}, {table.NewText("h2"), table.NewNumber(1)}}, out.Rows)

	out, err = evaluateQuery(t, "show endpoints group by hall order by count limit 1")
	require.NoError(t, err)
	require.Equal(t, [][]table.Value{{table.NewText("h2"), table.NewNumber(1)}}, out.Rows)
}

func TestInvalidQueriesAreRejected(t *testing.T) {
	for text, message := range map[string]string{
		"show endpoints where color = red":         `no column "color"; there are name, hall, slots, up`,
		"show endpoints group by color":            `no column "color"; there are name, hall, slots, up`,
		"show endpoints order by color":            `no column "color"; there are name, hall, slots, up`,
		"show endpoints where slots = many":        `column "slots" holds numbers, and "many" is none`,
		"show endpoints where name like \"[\"":     `"[" is no pattern`,
		"show endpoints where not color = red":     `no column "color"; there are name, hall, slots, up`,
		"show endpoints group by hall order by up": `no column "up"; there are hall, count`,
	} {
		_, err := evaluateQuery(t, text)
		require.EqualError(t, err, message, text)
	}
}
