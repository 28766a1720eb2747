// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/setting"
)

// TestInvalidWriteRateIsReportedByName has a valid read rate beside an invalid write rate, and guards against a report that names the wrong
// one.
func TestInvalidWriteRateIsReportedByName(t *testing.T) {
	bad := parseProblems(t, `"writes_per_second": 15`, `"writes_per_second": 0`)
	require.Len(t, bad, 1)
	require.Equal(t, "kv.writes_per_second", bad[0].Name)
}

func TestInvalidReadAndWriteRatesAreReported(t *testing.T) {
	bad := parseProblems(t, `"reads_per_second": 100`, `"reads_per_second": -1`, `"writes_per_second": 15`, `"writes_per_second": 0`)
	require.Len(t, bad, 2)
	require.Equal(t, "kv.reads_per_second", bad[0].Name)
	require.Equal(t, "kv.writes_per_second", bad[1].Name)
}

// parseProblems returns the problems of the sample settings after replacements, which are pairs of an old and a new text.
func parseProblems(t *testing.T, replacements ...string) []setting.Problem {
	t.Helper()
	raw, err := os.ReadFile(sampleFile)
	require.NoError(t, err)
	_, err = setting.Parse("file", []byte(strings.NewReplacer(replacements...).Replace(string(raw))))
	var bad setting.ErrInvalidSettings
	require.True(t, errors.As(err, &bad))
	return bad.Problems
}
