// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"
)

// Kind is the type of a column.
type Kind string

// The types of column.
const (
	Text   Kind = "text"
	Number Kind = "number"
	Bool   Kind = "bool"
)

// Column is one column of a table.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Value is one cell.
type Value struct {
	Kind   Kind
	Text   string
	Number float64
}

// String gives the cell as people read it.
func (v Value) String() string {
	if v.Kind == Number {
		return strconv.FormatFloat(v.Number, 'f', -1, 64)
	}
	return v.Text
}

// MarshalJSON implements json.Marshaler.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.Kind {
	case Number:
		return json.Marshal(v.Number)
	case Bool:
		return []byte(v.Text), nil
	}
	return json.Marshal(v.Text)
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Value) UnmarshalJSON(data []byte) error {
	switch {
	case string(data) == "true" || string(data) == "false":
		*v = Value{Kind: Bool, Text: string(data)}
		return nil
	case len(data) > 0 && data[0] == '"':
		v.Kind = Text
		return json.Unmarshal(data, &v.Text)
	}
	v.Kind = Number
	return json.Unmarshal(data, &v.Number)
}

// T makes a text cell.
func T(text string) Value { return Value{Kind: Text, Text: text} }

// N makes a number cell.
func N[X int | int64 | uint64 | float64](n X) Value { return Value{Kind: Number, Number: float64(n)} }

// B makes a cell of true or false.
func B(b bool) Value { return Value{Kind: Bool, Text: strconv.FormatBool(b)} }

// D makes a number cell of seconds.
func D(d time.Duration) Value {
	return Value{Kind: Number, Number: d.Round(time.Millisecond).Seconds()}
}

// Compare orders two cells: numbers by size, all else by text.
func Compare(a, b Value) int {
	if a.Kind == Number && b.Kind == Number {
		return cmp.Compare(a.Number, b.Number)
	}
	return cmp.Compare(a.String(), b.String())
}

// Table is a list of rows under columns.
type Table struct {
	Columns []Column  `json:"columns"`
	Rows    [][]Value `json:"rows"`
}

// Index finds a column by its name, or gives -1.
func (t *Table) Index(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Add appends a row.
func (t *Table) Add(values ...Value) {
	t.Rows = append(t.Rows, values)
}
