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

const sampleFile = "../../../conf/shelfledged.sample.json"

func TestSampleSettingsAreValid(t *testing.T) {
	s, err := setting.Load(sampleFile)
	require.NoError(t, err)
	require.Equal(t, "h1-i1", s.Instance.ID)
	require.Len(t, s.FleetEndpoints(), 2)
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	raw, err := os.ReadFile(sampleFile)
	require.NoError(t, err)
	text := strings.NewReplacer(
		`"slots": 8`, `"slots": 0`, `"timeout": "2s",                 //`, `"timeout": "soon", //`, `"tenant_share": 0.5`, `"tenant_share": 7`,
		`"level": "info"`, `"level": "loud"`, `"max_attempts": 3`, `"max_atempts": 3`, `"role": "admin"`, `"role": "king"`,
	).Replace(string(raw))
	_, err = setting.Parse("file", []byte(text))
	var bad setting.ErrInvalidSettings
	require.True(t, errors.As(err, &bad))
	names := make(map[string]int)
	for _, p := range bad.Problems {
		names[p.Name] = p.Line
		require.Positive(t, p.Line)
	}
	for _, name := range []string{"endpoints[0].slots", "kv.timeout", "decision.tenant_share", "log.level", "limits.max_atempts", "operators.keys[0].role"} {
		line, ok := names[name]
		require.True(t, ok, "%s is not reported in %v", name, names)
		field := name[strings.LastIndex(name, ".")+1:]
		require.Contains(t, strings.Split(text, "\n")[line-1], field)
	}
}

func TestMalformedFileIsReportedByLine(t *testing.T) {
	_, err := setting.Parse("file", []byte("{\n\"halls\": [\n"))
	require.ErrorContains(t, err, "file:")
}

func FuzzParse(f *testing.F) {
	raw, err := os.ReadFile(sampleFile)
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"listen":{"callers":{"address":1}},"endpoints":[null,{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := setting.Parse("file", data)
		require.True(t, (s == nil) == (err != nil))
	})
}
