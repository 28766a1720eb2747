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

const entryRejected = `
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

// entryAccepted makes files that are accepted: fields that nothing uses, and unknown ones.
const entryAccepted = `
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

// entryPowers are processors' shares and links of machines of different strength.
const entryPowers = `
limits.cpu_share 0.37
limits.cpu_share 0.38
limits.cpu_share 0
limits.link_mbps 89
limits.link_mbps 90
limits.link_mbps 0`

// entryValues gives what the entry makes of a settings file, by the fields' encoded paths. This
// is the one place to follow a renamed Go identifier; the pinned file stays as it is.
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
	full := read(t, "settings/entry_full.json")
	pin(t, "settings/entry_full.values.txt", lines(entryValues(t, full)))
	var out strings.Builder
	for _, c := range changes(entryPowers) {
		values := entryValues(t, edited(t, full, c.path, c.value))
		fmt.Fprintf(&out, "%s %s: waits %s\n", c.path, c.value, values["limits.cpu_share, link_mbps"])
	}
	pin(t, "settings/entry_powers.txt", out.String())
}

func TestEntryAcceptsUnusedAndUnknownSettings(t *testing.T) {
	full := read(t, "settings/entry_full.json")
	usual := entryValues(t, full)
	var out strings.Builder
	for _, c := range changes(entryAccepted) {
		text := edited(t, full, c.path, c.value)
		fmt.Fprintf(&out, "== %s %s\n%s", c.path, c.value, lines(differing(entryValues(t, text), usual)))
	}
	pin(t, "settings/entry_accepted.txt", out.String())
	folder := temporary(t)
	write(t, folder, "unknown.json", edited(t, full, "bounds.colour", `{"x":1}`))
	got := run(t, folder, "shelfledge-entry", "--settings", "unknown.json", "--check-settings")
	require.Equal(t, outcome{stdout: "the settings are valid\n"}, got)
}

// TestEntryRejectsSettings pins the error of each rejected file, as the entry prints it.
func TestEntryRejectsSettings(t *testing.T) {
	full := read(t, "settings/entry_full.json")
	cases := []struct{ title, text string }{{"broken", "{"}, {"empty", ""}, {"list", "[]"}, {"nothing set", "{}"}}
	for _, c := range changes(entryRejected) {
		cases = append(cases, struct{ title, text string }{c.path + " " + c.value, edited(t, full, c.path, c.value)})
	}
	var out strings.Builder
	for _, c := range cases {
		_, err := platform.ParseSettings([]byte(c.text))
		require.Error(t, err, c.title)
		fmt.Fprintf(&out, "== %s\n%s\n", c.title, sortedLines(withoutGoNames(err.Error())))
	}
	pin(t, "settings/entry_rejected.txt", out.String())
}

// TestEntryEndsOnBadSettings pins how the program ends on files that cannot be read or are wrong.
func TestEntryEndsOnBadSettings(t *testing.T) {
	folder := temporary(t)
	write(t, folder, "broken.json", "{")
	write(t, folder, "wrong.json", edited(t, read(t, "settings/entry_full.json"), "ip", `"here"`))
	var out strings.Builder
	for _, file := range []string{"broken.json", "wrong.json", "none.json"} {
		for _, arguments := range [][]string{{"--settings", file}, {"--settings", file, "--check-settings"}} {
			got := run(t, folder, "shelfledge-entry", arguments...)
			fmt.Fprintf(&out, "== %s\n%s", strings.Join(arguments, " "), got.text(folder))
		}
	}
	pin(t, "settings/entry_ended.txt", out.String())
}

// differing gives the values that differ from the usual ones.
func differing(values, usual map[string]string) map[string]string {
	out := make(map[string]string)
	for path, value := range values {
		if value != usual[path] {
			out[path] = value
		}
	}
	return out
}

var goNames = regexp.MustCompile(` Go (?:value|struct field \w*\.?((?:[a-z_]+\.)*[a-z_]+)) of type \S+`)

// withoutGoNames takes the names of Go types out of a decoding error: they are no promise.
func withoutGoNames(text string) string {
	return goNames.ReplaceAllString(text, " $1")
}

// sortedLines puts lines into an order that does not depend on a map's.
func sortedLines(text string) string {
	list := strings.Split(strings.TrimSpace(text), "\n")
	slices.Sort(list)
	return strings.Join(list, "\n")
}
