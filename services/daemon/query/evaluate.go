// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"path"
	"sort"
	"strconv"
	"strings"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
)

// predicate reports whether a row matches a condition.
type predicate func(row []table.Value) bool

// Evaluate applies the conditions, grouping, order and limit of a query to a table and returns the result.
func Evaluate(q *language.Show, t *table.Table) (*table.Table, error) {
	out := &table.Table{Columns: t.Columns, Rows: t.Rows}
	if q.Where != nil {
		keep, err := compileOr(q.Where, t)
		if err != nil {
			return nil, err
		}
		out.Rows = filterRows(t.Rows, keep)
	}
	out, err := groupRows(q, out)
	if err != nil {
		return nil, err
	}
	if err := sortRows(q, out); err != nil {
		return nil, err
	}
	if q.Limit != nil && len(out.Rows) > int(*q.Limit) {
		out.Rows = out.Rows[:*q.Limit]
	}
	return out, nil
}

func filterRows(rows [][]table.Value, keep predicate) [][]table.Value {
	var out [][]table.Value
	for _, row := range rows {
		if keep(row) {
			out = append(out, row)
		}
	}
	return out
}

func compileOr(o *language.Or, t *table.Table) (predicate, error) {
	var parts []predicate
	for _, a := range o.Parts {
		p, err := compileAnd(a, t)
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	return func(row []table.Value) bool {
		for _, p := range parts {
			if p(row) {
				return true
			}
		}
		return false
	}, nil
}

func compileAnd(a *language.And, t *table.Table) (predicate, error) {
	var parts []predicate
	for _, c := range a.Parts {
		p, err := compileCondition(c, t)
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	return func(row []table.Value) bool {
		for _, p := range parts {
			if !p(row) {
				return false
			}
		}
		return true
	}, nil
}

func compileCondition(c *language.Condition, t *table.Table) (predicate, error) {
	if c.Not != nil {
		p, err := compileCondition(c.Not, t)
		if err != nil {
			return nil, err
		}
		return func(row []table.Value) bool { return !p(row) }, nil
	}
	if c.Group != nil {
		return compileOr(c.Group, t)
	}
	at, err := columnIndex(t, c.Column)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(c.Op, "like") {
		if _, err := path.Match(c.Value, ""); err != nil {
			return nil, fmt.Errorf("%q is no pattern", c.Value)
		}
		return func(row []table.Value) bool {
			// The pattern was validated above, so Match returns no error.
			ok, _ := path.Match(c.Value, row[at].String())
			return ok
		}, nil
	}
	return compare(c, t.Columns[at].Kind, at)
}

// compare returns the predicate of a comparison between the column at index at and the value of the condition.
func compare(c *language.Condition, kind table.Kind, at int) (predicate, error) {
	other := table.NewText(c.Value)
	if kind == table.Number {
		n, err := strconv.ParseFloat(c.Value, 64)
		if err != nil {
			return nil, fmt.Errorf("column %q holds numbers, and %q is none", c.Column, c.Value)
		}
		other = table.NewNumber(n)
	}
	matches := map[string]func(int) bool{
		"=": func(o int) bool { return o == 0 }, "!=": func(o int) bool { return o != 0 },
		"<": func(o int) bool { return o < 0 }, "<=": func(o int) bool { return o <= 0 },
		">": func(o int) bool { return o > 0 }, ">=": func(o int) bool { return o >= 0 },
	}[c.Op]
	return func(row []table.Value) bool { return matches(table.Compare(row[at], other)) }, nil
}

// columnIndex returns the index of a column, whose name is matched without regard to case, or ErrUnknownColumn.
func columnIndex(t *table.Table, name string) (int, error) {
	if at := t.Index(strings.ToLower(name)); at >= 0 {
		return at, nil
	}
	e := ErrUnknownColumn{Name: name}
	for _, c := range t.Columns {
		e.Columns = append(e.Columns, c.Name)
	}
	return 0, e
}

// countColumn is the name of the column that holds the number of rows.
const countColumn = "count"

// groupRows counts all rows or, if the query groups by a column, the rows for each value of this column. Without grouping or
// count, it returns the table unchanged.
func groupRows(q *language.Show, t *table.Table) (*table.Table, error) {
	if q.Group == "" {
		if !q.Count {
			return t, nil
		}
		out := &table.Table{Columns: []table.Column{{Name: countColumn, Kind: table.Number}}}
		out.Add(table.NewNumber(len(t.Rows)))
		return out, nil
	}
	at, err := columnIndex(t, q.Group)
	if err != nil {
		return nil, err
	}
	out := &table.Table{Columns: []table.Column{t.Columns[at], {Name: countColumn, Kind: table.Number}}}
	index := make(map[string]int)
	for _, row := range t.Rows {
		key := row[at].String()
		i, ok := index[key]
		if !ok {
			i = len(out.Rows)
			index[key] = i
			out.Add(row[at], table.NewNumber(0))
		}
		out.Rows[i][1].Number++
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return table.Compare(out.Rows[i][0], out.Rows[j][0]) < 0 })
	return out, nil
}

// sortRows sorts the rows in place by the columns of the query's order clause.
func sortRows(q *language.Show, t *table.Table) error {
	for i := len(q.Order) - 1; i >= 0; i-- {
		o := q.Order[i]
		at, err := columnIndex(t, o.Column)
		if err != nil {
			return err
		}
		sort.SliceStable(t.Rows, func(i, j int) bool {
			c := table.Compare(t.Rows[i][at], t.Rows[j][at])
			if o.Desc {
				return c > 0
			}
			return c < 0
		})
	}
	return nil
}
