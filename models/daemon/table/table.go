// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"
)

// Kind is the type of a column or a value.
type Kind string

// The types of columns and values.
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

// Value is the value of a cell. Text is set for the kinds Text and Bool, and Number for the kind Number.
type Value struct {
	Kind   Kind
	Text   string
	Number float64
}

// String returns the value as it is displayed.
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

// NewText returns a text value.
func NewText(text string) Value { return Value{Kind: Text, Text: text} }

// NewNumber returns a number value.
func NewNumber[X int | int64 | uint64 | float64](n X) Value {
	return Value{Kind: Number, Number: float64(n)}
}

// NewBool returns a boolean value.
func NewBool(b bool) Value { return Value{Kind: Bool, Text: strconv.FormatBool(b)} }

// NewSeconds returns the duration as a number value in seconds, rounded to milliseconds.
func NewSeconds(d time.Duration) Value {
	return Value{Kind: Number, Number: d.Round(time.Millisecond).Seconds()}
}

// Compare returns the order of two values as cmp.Compare does: two numbers are compared as numbers, all others as text.
func Compare(a, b Value) int {
	if a.Kind == Number && b.Kind == Number {
		return cmp.Compare(a.Number, b.Number)
	}
	return cmp.Compare(a.String(), b.String())
}

// Table is a list of rows; each has one value for each column.
type Table struct {
	Columns []Column  `json:"columns"`
	Rows    [][]Value `json:"rows"`
}

// Index returns the index of the column with the given name, or -1 if there is none.
func (t *Table) Index(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Add appends a row with the given values.
func (t *Table) Add(values ...Value) {
	t.Rows = append(t.Rows, values)
}
