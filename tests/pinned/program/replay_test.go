// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// traceRejectedEdits has edits of a valid request line of a trace. Each makes replay reject the line.
const traceRejectedEdits = `
at_ms "soon"
at_ms -1
id
caller 7
class "other"
hall "h9"
base "base-z"
adapter
version 0
prompt_tokens -1
output_tokens 0
once "yes"
deadline_ms -1
colour "red"
event "flood"`

// fleetRejectedEdits has edits of a valid fleet file. Each makes replay reject the file.
const fleetRejectedEdits = `
halls []
halls "h1"
halls[0].name ""
halls[1].name "h1"
halls[0].instances "x"
endpoints []
endpoints[0].name ""
endpoints[1].name "h1-e1"
endpoints[0].hall "h9"
endpoints[0].bases []
endpoints[0].slots 0
endpoints[0].slots "many"
endpoints[0].max_batch 0
endpoints[0].step_ms 0
endpoints[0].prefill_tokens_per_ms 0
endpoints[0].load_ms 0
endpoints[0].checks_fence "yes"
endpoints[0].colour "red"
weight_store
weight_store.loads_per_second 0
weight_store.at_full_speed 0
classes[0].name ""
classes[0].stall_weight -1
classes[0].priority "high"
colour "red"`

// rejectedEventLines has trace lines with an invalid event field or invalid JSON.
var rejectedEventLines = []string{
	`{"at_ms":1,"event":"endpoint_restart","endpoint":"h9-e1"}`,
	`{"at_ms":1,"event":"endpoint_leaving","endpoint":"h9-e1"}`,
	`{"at_ms":1,"event":"load_fails","endpoint":"h1-e1","count":0}`,
	`{"at_ms":1,"event":"weight_store","rate_per_second":0,"until_ms":9}`,
	`{"at_ms":1,"event":"weight_store","rate_per_second":1,"until_ms":1}`,
	`{"at_ms":1,"event":"hall_cut","hall":"h9","until_ms":9}`,
	`{"at_ms":1,"event":"hall_cut","hall":"h1","until_ms":1}`,
	`{"at_ms":1,"event":"kv_down","until_ms":1}`,
	`{"at_ms":1,"event":"instance_lost","instance":"h9-i1"}`,
	`{"at_ms":1,`,
	`[]`,
}

func runReplay(t *testing.T, folder, fleet, trace string, more ...string) outcome {
	t.Helper()
	writeFile(t, folder, "fleet.json", fleet)
	writeFile(t, folder, "trace.jsonl", trace)
	return runProgram(t, folder, "replay", append([]string{"--fleet", "fleet.json", "--trace", "trace.jsonl"}, more...)...)
}

func TestReplayRejectsTraces(t *testing.T) {
	t.Parallel()
	fleet, trace := readTestdata(t, "replay/fleet.json"), readTestdata(t, "replay/trace.jsonl")
	good, _, _ := strings.Cut(trace, "\n")
	bad := []string{good}
	for _, c := range parseEdits(traceRejectedEdits) {
		bad = append(bad, strings.ReplaceAll(editJSON(t, strings.Replace(good, `"r1"`, `"r2"`, 1), c.path, c.value), "\n", ""))
	}
	folder := resolvedTempDir(t)
	var out strings.Builder
	for _, line := range append(bad, rejectedEventLines...) {
		got := runReplay(t, folder, fleet, good+"\n\n"+line+"\n")
		fmt.Fprintf(&out, "== %s\n%s", regexp.MustCompile(`\s+`).ReplaceAllString(line, " "), stripGoNames(got.text(folder)))
	}
	checkGolden(t, "replay/trace_rejected.txt", out.String())
}

func TestReplayRejectsFleets(t *testing.T) {
	t.Parallel()
	trace := readTestdata(t, "replay/trace.jsonl")
	plain := regexp.MustCompile(`(?m)^//.*$`).ReplaceAllString(readTestdata(t, "replay/fleet.json"), "")
	folder := resolvedTempDir(t)
	var out strings.Builder
	for _, c := range parseEdits(fleetRejectedEdits) {
		got := runReplay(t, folder, editJSON(t, plain, c.path, c.value), trace)
		fmt.Fprintf(&out, "== %s %s\n%s", c.path, c.value, stripGoNames(got.text(folder)))
	}
	got := runReplay(t, folder, "{\n\"halls\": [\n", trace)
	fmt.Fprintf(&out, "== broken\n%s", got.text(folder))
	got = runReplay(t, folder, plain, trace, "--policy", "other")
	fmt.Fprintf(&out, "== no such policy\n%s", got.text(folder))
	checkGolden(t, "replay/fleet_rejected.txt", out.String())
}

// TestReplayResultKeys compares the keys of each policy's result with the golden file. The result's values are documented with
// the traces, not in the golden file.
func TestReplayResultKeys(t *testing.T) {
	fleet, trace := readTestdata(t, "replay/fleet.json"), readTestdata(t, "replay/trace.jsonl")
	folder := resolvedTempDir(t)
	var out strings.Builder
	for _, policy := range []string{"shelfledge", "lru", "affinity", "bound"} {
		got := runReplay(t, folder, fleet, trace, "--json", "--policy", policy)
		require.Zero(t, got.code, got.stderr)
		var result map[string]any
		require.NoError(t, json.Unmarshal([]byte(got.stdout), &result))
		require.Equal(t, policy, result["policy"])
		values := make(map[string]string)
		flattenValues(values, "", result)
		fmt.Fprintf(&out, "== %s\n%s\n", policy, strings.Join(slices.Sorted(maps.Keys(values)), "\n"))
	}
	checkGolden(t, "replay/result_keys.txt", out.String())
}

// TestReplayTable compares the table's head and the policies in its lines with the golden file, for the policy "all".
func TestReplayTable(t *testing.T) {
	folder := resolvedTempDir(t)
	got := runReplay(t, folder, readTestdata(t, "replay/fleet.json"), readTestdata(t, "replay/trace.jsonl"), "--policy", "all")
	require.Zero(t, got.code, got.stderr)
	var first []string
	for line := range strings.Lines(got.stdout) {
		first = append(first, strings.Fields(line)[0])
	}
	head, _, _ := strings.Cut(got.stdout, "\n")
	slices.Sort(first[1:])
	checkGolden(t, "replay/table.txt", head+"\n"+strings.Join(first[1:], "\n")+"\n")
}
