// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operator

import (
	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// RunRequest is a request to execute statements.
type RunRequest struct {
	Text string `json:"text"`
	// ID identifies the changes of the text, so that they are accepted only once if the request is sent again.
	ID string `json:"id"`
	// WaitMS is how long to wait for changes to be in force in every hall, in milliseconds; zero means the default.
	WaitMS int64 `json:"wait_ms"`
}

// RunResponse contains an answer for each query or explanation, and one for each batch of consecutive changes.
type RunResponse struct {
	Operator string   `json:"operator"`
	Answers  []Answer `json:"answers"`
	Error    *Error   `json:"error,omitempty"`
}

// Answer is the answer to a query (Table), a batch of changes (Change) or an explanation (Explain). Parts lists the halls that contributed to
// a query or an explanation.
type Answer struct {
	Table   *table.Table       `json:"table,omitempty"`
	Parts   []query.Part       `json:"parts,omitempty"`
	Change  *command.Result    `json:"change,omitempty"`
	Explain *query.Explanation `json:"explain,omitempty"`
}

// ErrorKind is the kind of an error.
type ErrorKind string

// The kinds of error. docs/operators.md lists the exit code of shelfctl for each.
const (
	KindSyntax      ErrorKind = "syntax"
	KindSemantic    ErrorKind = "meaning"
	KindConflict    ErrorKind = "conflict"
	KindUnavailable ErrorKind = "unavailable"
	KindUnsettled   ErrorKind = "unsettled"
	KindDenied      ErrorKind = "denied"
	KindTooMany     ErrorKind = "too_many"
)

// Error reports why a statement was not executed.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	// Line and Column are the position of a syntax error, and Point is that line with a mark under the column.
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Point  string `json:"point,omitempty"`
}
