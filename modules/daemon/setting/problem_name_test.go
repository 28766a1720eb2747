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

// TestRateOfWritesIsReportedByItsOwnName has the rate of reads right beside the faulty one of writes.
func TestRateOfWritesIsReportedByItsOwnName(t *testing.T) {
	bad := problems(t, `"writes_per_second": 15`, `"writes_per_second": 0`)
	require.Len(t, bad, 1)
	require.Equal(t, "kv.writes_per_second", bad[0].Name)
}

func TestBothRatesAreReported(t *testing.T) {
	bad := problems(t, `"reads_per_second": 100`, `"reads_per_second": -1`, `"writes_per_second": 15`, `"writes_per_second": 0`)
	require.Len(t, bad, 2)
	require.Equal(t, "kv.reads_per_second", bad[0].Name)
	require.Equal(t, "kv.writes_per_second", bad[1].Name)
}

// problems gives those of the sample with the second of each two texts in place of the first.
func problems(t *testing.T, texts ...string) []setting.Problem {
	t.Helper()
	raw, err := os.ReadFile(sample)
	require.NoError(t, err)
	_, err = setting.Parse("file", []byte(strings.NewReplacer(texts...).Replace(string(raw))))
	var bad setting.ErrBadSettings
	require.True(t, errors.As(err, &bad))
	return bad.Problems
}
