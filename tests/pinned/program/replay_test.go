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

// traceRejected makes a rejected line of a good request with each edit.
const traceRejected = `
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

// fleetRejected makes a rejected fleet file with each edit.
const fleetRejected = `
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

// withEvents are lines that are wrong in a field of an event.
var withEvents = []string{
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

func replay(t *testing.T, folder, fleet, trace string, more ...string) outcome {
	t.Helper()
	write(t, folder, "fleet.json", fleet)
	write(t, folder, "trace.jsonl", trace)
	return run(t, folder, "replay", append([]string{"--fleet", "fleet.json", "--trace", "trace.jsonl"}, more...)...)
}

func TestReplayRejectsTraces(t *testing.T) {
	t.Parallel()
	fleet, trace := read(t, "replay/fleet.json"), read(t, "replay/trace.jsonl")
	good, _, _ := strings.Cut(trace, "\n")
	bad := []string{good}
	for _, c := range changes(traceRejected) {
		bad = append(bad, strings.ReplaceAll(edited(t, strings.Replace(good, `"r1"`, `"r2"`, 1), c.path, c.value), "\n", ""))
	}
	folder := temporary(t)
	var out strings.Builder
	for _, line := range append(bad, withEvents...) {
		got := replay(t, folder, fleet, good+"\n\n"+line+"\n")
		fmt.Fprintf(&out, "== %s\n%s", regexp.MustCompile(`\s+`).ReplaceAllString(line, " "), withoutGoNames(got.text(folder)))
	}
	pin(t, "replay/trace_rejected.txt", out.String())
}

func TestReplayRejectsFleets(t *testing.T) {
	t.Parallel()
	trace := read(t, "replay/trace.jsonl")
	plain := regexp.MustCompile(`(?m)^//.*$`).ReplaceAllString(read(t, "replay/fleet.json"), "")
	folder := temporary(t)
	var out strings.Builder
	for _, c := range changes(fleetRejected) {
		got := replay(t, folder, edited(t, plain, c.path, c.value), trace)
		fmt.Fprintf(&out, "== %s %s\n%s", c.path, c.value, withoutGoNames(got.text(folder)))
	}
	got := replay(t, folder, "{\n\"halls\": [\n", trace)
	fmt.Fprintf(&out, "== broken\n%s", got.text(folder))
	got = replay(t, folder, plain, trace, "--policy", "other")
	fmt.Fprintf(&out, "== no such policy\n%s", got.text(folder))
	pin(t, "replay/fleet_rejected.txt", out.String())
}

// TestReplayResultKeys pins the keys of each policy's result; the figures are stated beside the traces.
func TestReplayResultKeys(t *testing.T) {
	fleet, trace := read(t, "replay/fleet.json"), read(t, "replay/trace.jsonl")
	folder := temporary(t)
	var out strings.Builder
	for _, policy := range []string{"shelfledge", "lru", "affinity", "bound"} {
		got := replay(t, folder, fleet, trace, "--json", "--policy", policy)
		require.Zero(t, got.code, got.stderr)
		var result map[string]any
		require.NoError(t, json.Unmarshal([]byte(got.stdout), &result))
		require.Equal(t, policy, result["policy"])
		values := make(map[string]string)
		flatten(values, "", result)
		fmt.Fprintf(&out, "== %s\n%s\n", policy, strings.Join(slices.Sorted(maps.Keys(values)), "\n"))
	}
	pin(t, "replay/result_keys.txt", out.String())
}

// TestReplayTable pins the table's head and which lines "all" prints.
func TestReplayTable(t *testing.T) {
	folder := temporary(t)
	got := replay(t, folder, read(t, "replay/fleet.json"), read(t, "replay/trace.jsonl"), "--policy", "all")
	require.Zero(t, got.code, got.stderr)
	var first []string
	for line := range strings.Lines(got.stdout) {
		first = append(first, strings.Fields(line)[0])
	}
	head, _, _ := strings.Cut(got.stdout, "\n")
	slices.Sort(first[1:])
	pin(t, "replay/table.txt", head+"\n"+strings.Join(first[1:], "\n")+"\n")
}
