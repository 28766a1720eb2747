// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"strings"
)

// ErrNoColumn reports a query that names a column that the table does not have.
type ErrNoColumn struct {
	Name    string
	Columns []string
}

// Error returns a message that lists the existing columns.
func (e ErrNoColumn) Error() string {
	return fmt.Sprintf("no column %q; there are %s", e.Name, strings.Join(e.Columns, ", "))
}

// ErrNoTable reports a query that names an unknown table.
type ErrNoTable struct {
	Name string
}

// Error returns a message that lists the existing tables.
func (e ErrNoTable) Error() string {
	return fmt.Sprintf("no table %q; there are %s", e.Name, strings.Join(Tables(), ", "))
}
