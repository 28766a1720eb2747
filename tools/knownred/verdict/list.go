// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package verdict

import (
	"fmt"
	"strings"
)

// targetPrefix marks an entry that is a make target instead of a test; such an entry is printed and not checked.
const targetPrefix = "make "

// entryFields is the number of fields of a line: test, cause and issue.
const entryFields = 3

// Entry is one line of the list of known failures.
type Entry struct {
	// Test is the import path of the package, a dot and the name of the test, or a make target.
	Test string
	// Cause is the reason why the test fails.
	Cause string
	// Issue refers to the issue that tracks the failure.
	Issue string
}

// IsTarget reports whether the entry is a make target, which `make test` does not run.
func (e Entry) IsTarget() bool {
	return strings.HasPrefix(e.Test, targetPrefix)
}

// ErrBadLine reports a malformed line of the list.
type ErrBadLine struct {
	Line    int
	Problem string
}

// Error returns a message with the line number and the problem.
func (e *ErrBadLine) Error() string {
	return fmt.Sprintf("known failures: line %d: %s", e.Line, e.Problem)
}

// ParseList parses the list, which has one entry per line in the form "test | cause | issue". It ignores empty lines and
// lines that begin with #. Its error is an *ErrBadLine.
func ParseList(content string) ([]Entry, error) {
	var entries []Entry
	listed := make(map[string]bool)
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != entryFields {
			return nil, &ErrBadLine{Line: i + 1, Problem: "is not \"test | cause | issue\""}
		}
		entry := Entry{Test: strings.TrimSpace(fields[0]), Cause: strings.TrimSpace(fields[1]), Issue: strings.TrimSpace(fields[2])}
		if entry.Test == "" || entry.Cause == "" || entry.Issue == "" {
			return nil, &ErrBadLine{Line: i + 1, Problem: "leaves a field empty"}
		}
		if listed[entry.Test] {
			return nil, &ErrBadLine{Line: i + 1, Problem: "names " + entry.Test + " again"}
		}
		listed[entry.Test] = true
		entries = append(entries, entry)
	}
	return entries, nil
}
