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

// TestRateOfWritesIsReportedByItsOwnName fails as listed in KNOWN-RED.txt: the faulty rate
// is reported under the name, and in the line, of the rate of reads.
func TestRateOfWritesIsReportedByItsOwnName(t *testing.T) {
	raw, err := os.ReadFile(sample)
	require.NoError(t, err)
	text := strings.Replace(string(raw), `"writes_per_second": 15`, `"writes_per_second": 0`, 1)
	_, err = setting.Parse("file", []byte(text))
	var bad setting.ErrBadSettings
	require.True(t, errors.As(err, &bad))
	require.Len(t, bad.Problems, 1)
	require.Equal(t, "kv.writes_per_second", bad.Problems[0].Name)
}
