// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the pinned files anew")

// pin compares a text with the pinned file of that name; a missing file is a failure.
func pin(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	if string(want) != got {
		assert.Fail(t, "what others see has changed", "%s:\n%s", path, difference(string(want), got))
	}
}

// difference gives the lines that only one of two texts has.
func difference(want, got string) string {
	var all strings.Builder
	wanted, given := strings.Split(want, "\n"), strings.Split(got, "\n")
	for _, line := range wanted {
		if !slices.Contains(given, line) {
			all.WriteString("pinned: " + line + "\n")
		}
	}
	for _, line := range given {
		if !slices.Contains(wanted, line) {
			all.WriteString("now:    " + line + "\n")
		}
	}
	if all.Len() == 0 {
		return "the same lines in another order or number\n" + got
	}
	return all.String()
}

// input reads a fixed input file.
func input(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return bytes.TrimSpace(content)
}

// sortedLines gives different lines in order, each ended by a line feed.
func sortedLines(lines []string) string {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}
