// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/platform"
)

const entryRejectedEdits = `
node_name ""
node_name 7
zone 1
ip "here"
ip
internal_ports []
internal_ports [70000]
internal_ports "5"
listen.frontend "x"
listen.ready
platform.address "x"
platform.form "log"
platform.form
seeds "x"
limits.cpu_share "x"
limits.link_mbps "x"
bounds.grace_s "x"
bounds.lease_ms "x"`

// entryAcceptedEdits has edits after which the entry still accepts the file: they change unused, optional or unknown fields.
const entryAcceptedEdits = `
limits.memory_mb
limits.memory_mb 4096.5
limits.max_fds
limits.max_fds 9
bounds.drain_ms
bounds.drain_ms 12.5
colour "red"
listen.control_plane "?"
limits.colour {"x":1}
bounds.colour [1]
platform.colour null
zone
seeds
seeds ["x","127.0.0.9:1"]
limits
bounds`

// entryPowerEdits has edits that set CPU shares and link speeds of instances of different capacity.
const entryPowerEdits = `
limits.cpu_share 0.37
limits.cpu_share 0.38
limits.cpu_share 0
limits.link_mbps 89
limits.link_mbps 90
limits.link_mbps 0`

// entryValues returns the values that the entry derives from a settings file, by the fields' encoded paths.
// After renaming a Go identifier only this function changes, not the golden files.
func entryValues(t *testing.T, text string) map[string]string {
	t.Helper()
	settings, err := platform.ParseSettings([]byte(text))
	require.NoError(t, err)
	process := settings.Process(logrus.InfoLevel, 9464)
	node := process.Coordinator
	values := map[string]any{
		"node_name":                   node.Instance,
		"zone":                        node.Hall,
		"ip, internal_ports[0]":       node.PeerAddress,
		"ip, metrics port":            process.Metrics,
		"listen.frontend":             process.Callers,
		"listen.ready":                process.Ready,
		"seeds, internal_ports[0]":    node.Seeds,
		"limits.cpu_share, link_mbps": node.TakeoverDelay,
		"bounds.grace_s":              process.Grace,
		"bounds.retry_budget_ratio":   node.Retry.Ratio,
		"bounds.budget_window_s":      node.Retry.Window,
		"bounds.budget_extra_retries": node.Retry.Extra,
		"bounds.lease_ms":             node.Lease.MinReturnDelay,
		"bounds.ceiling_window_s":     node.LoadWindow,
		"bounds.origin_rate_cap":      node.LoadTolerance,
		"bounds.version_ms":           node.VersionLimit,
		"platform.address":            settings.Store,
		"platform.form":               settings.StoreForm,
	}
	out := make(map[string]string)
	for path, value := range values {
		out[path] = fmt.Sprint(value)
	}
	return out
}

func TestEntrySettings(t *testing.T) {
	full := readTestdata(t, "settings/entry_full.json")
	checkGolden(t, "settings/entry_full.values.txt", formatValues(entryValues(t, full)))
	var out strings.Builder
	for _, c := range parseEdits(entryPowerEdits) {
		values := entryValues(t, editJSON(t, full, c.path, c.value))
		fmt.Fprintf(&out, "%s %s: waits %s\n", c.path, c.value, values["limits.cpu_share, link_mbps"])
	}
	checkGolden(t, "settings/entry_powers.txt", out.String())
}

func TestEntryAcceptsUnusedAndUnknownSettings(t *testing.T) {
	full := readTestdata(t, "settings/entry_full.json")
	usual := entryValues(t, full)
	var out strings.Builder
	for _, c := range parseEdits(entryAcceptedEdits) {
		text := editJSON(t, full, c.path, c.value)
		fmt.Fprintf(&out, "== %s %s\n%s", c.path, c.value, formatValues(changedValues(entryValues(t, text), usual)))
	}
	checkGolden(t, "settings/entry_accepted.txt", out.String())
	folder := resolvedTempDir(t)
	writeFile(t, folder, "unknown.json", editJSON(t, full, "bounds.colour", `{"x":1}`))
	got := runProgram(t, folder, "shelfledge-entry", "--settings", "unknown.json", "--check-settings")
	require.Equal(t, outcome{stdout: "the settings are valid\n"}, got)
}

// TestEntryRejectsSettings compares the entry's error for each rejected file with the golden file.
func TestEntryRejectsSettings(t *testing.T) {
	full := readTestdata(t, "settings/entry_full.json")
	cases := []struct{ title, text string }{{"broken", "{"}, {"empty", ""}, {"list", "[]"}, {"nothing set", "{}"}}
	for _, c := range parseEdits(entryRejectedEdits) {
		cases = append(cases, struct{ title, text string }{c.path + " " + c.value, editJSON(t, full, c.path, c.value)})
	}
	var out strings.Builder
	for _, c := range cases {
		_, err := platform.ParseSettings([]byte(c.text))
		require.Error(t, err, c.title)
		fmt.Fprintf(&out, "== %s\n%s\n", c.title, sortLines(stripGoNames(err.Error())))
	}
	checkGolden(t, "settings/entry_rejected.txt", out.String())
}

// TestEntryExitsOnInvalidSettings compares exit code and output of the entry with the golden file, for settings files that are
// missing, malformed or invalid.
func TestEntryExitsOnInvalidSettings(t *testing.T) {
	folder := resolvedTempDir(t)
	writeFile(t, folder, "broken.json", "{")
	writeFile(t, folder, "wrong.json", editJSON(t, readTestdata(t, "settings/entry_full.json"), "ip", `"here"`))
	var out strings.Builder
	for _, file := range []string{"broken.json", "wrong.json", "none.json"} {
		for _, arguments := range [][]string{{"--settings", file}, {"--settings", file, "--check-settings"}} {
			got := runProgram(t, folder, "shelfledge-entry", arguments...)
			fmt.Fprintf(&out, "== %s\n%s", strings.Join(arguments, " "), got.text(folder))
		}
	}
	checkGolden(t, "settings/entry_ended.txt", out.String())
}

// changedValues returns the values that differ from those of the unchanged settings file.
func changedValues(values, usual map[string]string) map[string]string {
	out := make(map[string]string)
	for path, value := range values {
		if value != usual[path] {
			out[path] = value
		}
	}
	return out
}

var goNamesPattern = regexp.MustCompile(` Go (?:value|struct field \w*\.?((?:[a-z_]+\.)*[a-z_]+)) of type \S+`)

// stripGoNames removes the names of Go types from a decoding error, since they are not part of the interface.
func stripGoNames(text string) string {
	return goNamesPattern.ReplaceAllString(text, " $1")
}

// sortLines sorts lines, since an error lists problems in the random order of a map.
func sortLines(text string) string {
	list := strings.Split(strings.TrimSpace(text), "\n")
	slices.Sort(list)
	return strings.Join(list, "\n")
}
