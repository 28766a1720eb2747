// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operator

import (
	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// RunRequest asks for statements to be carried out.
type RunRequest struct {
	Text string `json:"text"`
	// ID names the changes of the text, so that they are accepted once however often they are sent.
	ID string `json:"id"`
	// WaitMS is how long to wait for changes to be in force everywhere.
	WaitMS int64 `json:"wait_ms"`
}

// RunResponse holds one answer for each query or explanation, and one for each run of changes.
type RunResponse struct {
	Operator string   `json:"operator"`
	Answers  []Answer `json:"answers"`
	Error    *Error   `json:"error,omitempty"`
}

// Answer is one answer; one of its parts is set.
type Answer struct {
	Table   *table.Table       `json:"table,omitempty"`
	Parts   []query.Part       `json:"parts,omitempty"`
	Change  *command.Result    `json:"change,omitempty"`
	Explain *query.Explanation `json:"explain,omitempty"`
}

// ErrorKind names what went wrong.
type ErrorKind string

// The kinds of error; docs/operators.md gives the tool's exit code for each.
const (
	KindSyntax      ErrorKind = "syntax"
	KindMeaning     ErrorKind = "meaning"
	KindConflict    ErrorKind = "conflict"
	KindUnavailable ErrorKind = "unavailable"
	KindUnsettled   ErrorKind = "unsettled"
	KindDenied      ErrorKind = "denied"
	KindTooMany     ErrorKind = "too_many"
)

// Error tells why a statement was not carried out.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Line    int       `json:"line,omitempty"`
	Column  int       `json:"column,omitempty"`
	Point   string    `json:"point,omitempty"`
}
