// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim_test

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

const tracesDir = "../../../testdata/traces"

func replayCommitted(t *testing.T, scenario, policy string) sim.Result {
	t.Helper()
	f, err := sim.ReadFleet(filepath.Join(tracesDir, scenario+".fleet.json"))
	require.NoError(t, err)
	lines, err := sim.ReadTrace(filepath.Join(tracesDir, scenario+".trace.jsonl"), f)
	require.NoError(t, err)
	r, err := sim.Run(f, lines, policy)
	require.NoError(t, err)
	return r
}

func TestPoliciesViolateNoInvariant(t *testing.T) {
	for _, scenario := range []string{"dakar", "plovdiv", "storm"} {
		for _, policy := range []string{"shelfledge", "affinity", "lru"} {
			r := replayCommitted(t, scenario, policy)
			require.Zero(t, r.ViolationCount(), "%s under %s: %v", scenario, policy, r.Violations)
			require.Equal(t, r.Requests, r.Answered+r.RefusedNotRun+r.Unknown+r.Expired, "%s under %s", scenario, policy)
		}
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	first := replayCommitted(t, "storm", "shelfledge")
	second := replayCommitted(t, "storm", "shelfledge")
	first.DecideNS, second.DecideNS = sim.DecideFigures{}, sim.DecideFigures{}
	require.Equal(t, first, second)
}

func TestReadTraceReportsLineAndField(t *testing.T) {
	f, err := sim.ReadFleet(filepath.Join(tracesDir, "dakar.fleet.json"))
	require.NoError(t, err)
	good := `{"at_ms":0,"id":"r1","caller":"c","class":"kiosk","hall":"h1","base":"base-a","adapter":"x","version":1,"prompt_tokens":1,"output_tokens":1}`
	for name, c := range map[string]struct {
		text, field string
		line        int
	}{
		"unknown hall":         {good + "\n" + `{"at_ms":1,"id":"r2","class":"kiosk","hall":"h9","base":"base-a","adapter":"x","version":1,"output_tokens":1}`, "hall", 2},
		"decreasing time":      {`{"at_ms":5,"event":"kv_down","until_ms":9}` + "\n" + good, "at_ms", 2},
		"id given twice":       {good + "\n" + good, "id", 2},
		"not a number":         {`{"at_ms":"soon"}`, "at_ms", 1},
		"unknown field":        {`{"at_ms":0,"colour":"red"}`, "colour", 1},
		"unknown event":        {`{"at_ms":0,"event":"flood"}`, "event", 1},
		"unknown endpoint":     {`{"at_ms":0,"event":"endpoint_restart","endpoint":"h7-e1"}`, "endpoint", 1},
		"cut without duration": {`{"at_ms":3,"event":"hall_cut","hall":"h1","until_ms":2}`, "until_ms", 1},
		"version missing":      {`{"at_ms":0,"id":"r1","class":"kiosk","hall":"h1","base":"base-a","adapter":"x","output_tokens":1}`, "version", 1},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "trace.jsonl")
			require.NoError(t, os.WriteFile(file, []byte(c.text), 0o600))
			_, err := sim.ReadTrace(file, f)
			var bad sim.ErrBadFile
			require.ErrorAs(t, err, &bad)
			require.Equal(t, c.field, bad.Field)
			require.Equal(t, c.line, bad.Line)
		})
	}
}

func TestReadFleetReportsLineAndField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.json")
	text := "// a comment\n{\"halls\":[{\"name\":\"h1\"}],\n\"endpoints\":[{\"name\":\"e1\",\"hall\":\"h1\",\n\"bases\":[\"b\"],\"slots\":\"many\"}]}"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := sim.ReadFleet(file)
	var bad sim.ErrBadFile
	require.ErrorAs(t, err, &bad)
	require.Equal(t, 4, bad.Line)
	require.Contains(t, bad.Field, "slots")
}

// outcome holds the recorded figures of a replay of a committed trace.
type outcome struct {
	Answered int     `json:"answered"`
	Refused  int     `json:"refused_not_run"`
	Unknown  int     `json:"unknown"`
	Expired  int     `json:"expired"`
	Loads    int     `json:"loads"`
	Failed   int     `json:"loads_failed"`
	Evicted  int     `json:"evictions"`
	Weighted float64 `json:"weighted_stall_ms"`
	Batch    float64 `json:"batch_efficiency"`
}

func outcomeOf(r sim.Result) outcome {
	return outcome{
		Answered: r.Answered, Refused: r.RefusedNotRun, Unknown: r.Unknown, Expired: r.Expired, Loads: r.Loads, Failed: r.LoadsFailed,
		Evicted: r.Evictions, Weighted: math.Round(r.WeightedMean*10) / 10, Batch: math.Round(r.BatchEfficiency*1000) / 1000,
	}
}

// TestPoliciesMatchRecordedOutcomes compares every policy with the outcomes recorded beside the traces. After a
// change of decisions, `UPDATE_OUTCOMES=1 go test ./tools/replay/sim` records the new outcomes.
func TestPoliciesMatchRecordedOutcomes(t *testing.T) {
	file := filepath.Join(tracesDir, "outcomes.json")
	got := make(map[string]map[string]outcome)
	for _, scenario := range []string{"dakar", "plovdiv", "storm"} {
		got[scenario] = make(map[string]outcome)
		for _, policy := range sim.Policies() {
			got[scenario][policy] = outcomeOf(replayCommitted(t, scenario, policy))
		}
	}
	if os.Getenv("UPDATE_OUTCOMES") != "" {
		raw, err := json.MarshalIndent(got, "", "  ")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, append(raw, '\n'), 0o600))
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	var stated map[string]map[string]outcome
	require.NoError(t, json.Unmarshal(raw, &stated))
	require.Equal(t, stated, got)
	dakar := got["dakar"]
	require.LessOrEqual(t, dakar["shelfledge"].Weighted, 0.4*dakar["lru"].Weighted)
	require.LessOrEqual(t, dakar["shelfledge"].Weighted, 0.6*dakar["affinity"].Weighted)
	require.GreaterOrEqual(t, dakar["shelfledge"].Weighted, dakar["bound"].Weighted, "no policy is better than the lower bound")
	require.GreaterOrEqual(t, got["plovdiv"]["shelfledge"].Batch, 1.3*got["plovdiv"]["lru"].Batch)
}
