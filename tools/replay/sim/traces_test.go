// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

const (
	// committedSeed is the seed of the committed traces.
	committedSeed = 1
	// envScenarios is the environment variable that lists the scenarios to write to the trace folder, such as "dakar,plovdiv,storm".
	envScenarios = "DRAW_TRACES"
)

// generateScenario returns the text of a scenario's fleet file and of its trace.
func generateScenario(t testing.TB, scenario string, seed uint64) (fleetText, trace []byte) {
	t.Helper()
	b := newTraceBuilder(seed)
	f, err := json.MarshalIndent(scenarios[scenario](b), "", "  ")
	require.NoError(t, err)
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, line := range b.sortedLines() {
		require.NoError(t, encoder.Encode(line))
	}
	header := fmt.Sprintf("// Made by: make traces (scenario %s, seed %d)\n", scenario, seed)
	return append([]byte(header), append(f, '\n')...), lines.Bytes()
}

func writeScenario(t testing.TB, folder, scenario string, seed uint64) (fleetFile, traceFile string) {
	t.Helper()
	fleetText, trace := generateScenario(t, scenario, seed)
	fleetFile, traceFile = filepath.Join(folder, scenario+".fleet.json"), filepath.Join(folder, scenario+".trace.jsonl")
	require.NoError(t, os.WriteFile(fleetFile, fleetText, 0o600))
	require.NoError(t, os.WriteFile(traceFile, trace, 0o600))
	return fleetFile, traceFile
}

// TestCommittedTracesMatchTheirSeed compares the committed traces with those that the scenarios generate
// from the same seed. `make traces` rewrites the files before the comparison.
func TestCommittedTracesMatchTheirSeed(t *testing.T) {
	if names := os.Getenv(envScenarios); names != "" {
		for _, scenario := range strings.Split(names, ",") {
			writeScenario(t, tracesDir, scenario, committedSeed)
		}
	}
	for _, scenario := range []string{"dakar", "plovdiv", "storm"} {
		fleetText, trace := generateScenario(t, scenario, committedSeed)
		committed, err := os.ReadFile(filepath.Join(tracesDir, scenario+".fleet.json"))
		require.NoError(t, err)
		require.Equal(t, string(committed), string(fleetText), scenario)
		committed, err = os.ReadFile(filepath.Join(tracesDir, scenario+".trace.jsonl"))
		require.NoError(t, err)
		require.True(t, bytes.Equal(committed, trace), "committed trace of %s differs from the trace generated from its seed", scenario)
	}
}

// BenchmarkReplayOf200000Requests measures a replay of 200,000 requests, which must take less than 60 s.
func BenchmarkReplayOf200000Requests(b *testing.B) {
	fleetFile, traceFile := writeScenario(b, b.TempDir(), "large", committedSeed)
	for b.Loop() {
		f, err := sim.ReadFleet(fleetFile)
		require.NoError(b, err)
		lines, err := sim.ReadTrace(traceFile, f)
		require.NoError(b, err)
		_, err = sim.Run(f, lines, "shelfledge")
		require.NoError(b, err)
	}
}
