// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"strings"
)

// ErrUnknownColumn reports a query that names a column that the table does not have.
type ErrUnknownColumn struct {
	Name    string
	Columns []string
}

// Error returns a message that lists the existing columns.
func (e ErrUnknownColumn) Error() string {
	return fmt.Sprintf("no column %q; there are %s", e.Name, strings.Join(e.Columns, ", "))
}

// ErrUnknownTable reports a query that names an unknown table.
type ErrUnknownTable struct {
	Name string
}

// Error returns a message that lists the existing tables.
func (e ErrUnknownTable) Error() string {
	return fmt.Sprintf("no table %q; there are %s", e.Name, strings.Join(Tables(), ", "))
}
