// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package language_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/language"
)

// referenceForms returns the lines of all code blocks of the reference page.
func referenceForms(t testing.TB) []string {
	raw, err := os.ReadFile("../../../docs/language.md")
	require.NoError(t, err)
	var out []string
	inside := false
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "```") {
			inside = !inside
			continue
		}
		if inside {
			out = append(out, line)
		}
	}
	require.Greater(t, len(out), 40)
	return out
}

func TestParseAcceptsAllReferenceForms(t *testing.T) {
	for _, line := range referenceForms(t) {
		statements, err := language.Parse(line)
		require.NoError(t, err, line)
		require.Len(t, statements, 1, line)
		_, err = language.Parse(strings.ToUpper(line[:4]) + line[4:])
		require.NoError(t, err, "keywords are not case-sensitive: %s", line)
	}
}

func TestSyntaxErrorNamesColumnAndReason(t *testing.T) {
	for text, want := range map[string]struct {
		column int
		reason string
	}{
		"create adaptor x":                        {8, "expected adapter, version, service or rule"},
		"set budget x loads per second 2 at once": {11, "expected a number"},
		"show slots where a =":                    {21, "expected"},
		"drain engine e1":                         {7, "expected endpoint or hall"},
		"frobnicate":                              {1, "expected show, explain"},
		"undo revision seven":                     {14, "expected a whole number"},
	} {
		_, err := language.Parse(text)
		var syntax language.ErrSyntax
		require.True(t, errors.As(err, &syntax), text)
		require.InDelta(t, want.column, syntax.Column, 1, text)
		require.Contains(t, syntax.Reason, want.reason, text)
		require.Contains(t, syntax.Point(text), "^")
	}
}

func FuzzParse(f *testing.F) {
	for _, line := range referenceForms(f) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := language.Parse(text)
		if err != nil {
			require.ErrorAs(t, err, new(language.ErrSyntax))
		}
	})
}
