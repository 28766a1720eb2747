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

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares got with the golden file of that name. A missing file is a failure.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	if string(want) != got {
		assert.Fail(t, "output differs from golden file", "%s:\n%s", path, diffLines(string(want), got))
	}
}

// diffLines returns the lines that occur in only one of the two texts.
func diffLines(want, got string) string {
	var diff strings.Builder
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			diff.WriteString("want: " + line + "\n")
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			diff.WriteString("got:  " + line + "\n")
		}
	}
	if diff.Len() == 0 {
		return "same lines, but in a different order or number\n" + got
	}
	return diff.String()
}

// readTestdata returns the content of a file under testdata without surrounding white space.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return bytes.TrimSpace(content)
}

// sortedUniqueLines sorts the lines, removes duplicates and ends each line with a line feed.
func sortedUniqueLines(lines []string) string {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}
