// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"strings"
)

// ErrNoColumn reports a column that a table does not have.
type ErrNoColumn struct {
	Name    string
	Columns []string
}

// Error names the columns that there are.
func (e ErrNoColumn) Error() string {
	return fmt.Sprintf("no column %q; there are %s", e.Name, strings.Join(e.Columns, ", "))
}

// ErrNoTable reports an unknown table.
type ErrNoTable struct {
	Name string
}

// Error names the tables that there are.
func (e ErrNoTable) Error() string {
	return fmt.Sprintf("no table %q; there are %s", e.Name, strings.Join(Tables(), ", "))
}
