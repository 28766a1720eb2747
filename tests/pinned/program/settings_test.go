// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/setting"
)

// daemonRejectedEdits has edits of daemon_least.json, one per line. Each makes the daemon reject the file.
const daemonRejectedEdits = `
instance.id ""
instance.hall "h9"
listen.callers.address
listen.operators.address "127.0.0.1:7080"
listen.peers.address "here"
listen.callers.tls.cert "c.pem"
listen.operators.tls.client_ca "ca.pem"
halls []
halls "h1"
seeds[0].id ""
seeds[0].hall "h9"
seeds[0].address
endpoints[0].name ""
endpoints[1].name "e1"
endpoints[0].hall "h9"
endpoints[0].address
endpoints[0].kind "other"
endpoints[0].bases []
endpoints[0].slots 0
endpoints[0].max_batch 0
endpoints[0].step 25
endpoints[0].load "soon"
endpoints[1].prefix "tickets"
endpoints[1].prefix "/v1/x"
classes[0].name ""
classes[1].name "kiosk"
classes[0].stall_weight -1
classes[0].max_queued_tokens -1
classes[0].priority "high"
classes[0].patient 1
kv.addresses []
kv.addresses ["x"]
kv.timeout "0s"
kv.claim_ttl "0s"
kv.reads_per_second 0
kv.writes_per_second 0
platform.every "0s"
platform.timeout "-1s"
platform.list "x"
weight_store.loads_per_second 0
weight_store.at_full_speed 0
limits.max_body_bytes 1023
limits.max_body_bytes 67108865
limits.max_requests 0
limits.max_requests 1000001
limits.retry_share 1.1
limits.retry_share -0.1
limits.max_attempts 0
limits.max_attempts 11
limits.output_tokens 0
limits.bytes_per_token 65
limits.default_wait "0s"
limits.slow_reader "0s"
limits.endpoint_silent "0s"
limits.drain_limit "0s"
limits.leave_notice "0s"
decision.tenant_share 0
decision.tenant_share 7
decision.tenant_batch_share 1.1
decision.gather_share -1
decision.reserve_share 0.95
decision.preload_gain 0
decision.give_up_failures 101
decision.bounded_load 0.9
decision.aging_step "0s"
decision.fast_half_life "0s"
decision.slow_half_life "0s"
decision.gather_limit "0s"
decision.load_timeout "0s"
timing.heartbeat "0s"
timing.heartbeat "1s"
timing.lost_after "0s"
timing.settle "0s"
timing.digest "0s"
timing.hall_silence "0s"
timing.inspect "0s"
timing.grant_age "0s"
timing.start_within "0s"
timing.lease_ttl "0s"
timing.lease_ttl "10.5s"
timing.lease_margin "0s"
timing.lease_renew "0s"
timing.lease_renew "7s"
operators.failures_per_minute 0
operators.keys[0].name ""
operators.keys[0].role "king"
operators.keys[0].sha256 "00"
log.level "loud"
log.format "xml"
limits.max_atempts 3
colour "red"
metrics.max_callers "many"`

// goTypePattern matches the name of a Go type of this module in a decoding error, which is not part of the interface.
var goTypePattern = regexp.MustCompile(` Go value of type [a-z]+\.[A-Za-z]+`)

func readTestdata(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(raw)
}

// daemonValues returns the settings that the daemon decodes from a settings file, by path.
func daemonValues(t *testing.T, text string) map[string]string {
	t.Helper()
	settings, err := setting.Parse("file", []byte(text))
	require.NoError(t, err)
	return flattenSettings(settings)
}

func TestDaemonSettings(t *testing.T) {
	full := daemonValues(t, readTestdata(t, "settings/daemon_full.json"))
	least := daemonValues(t, readTestdata(t, "settings/daemon_least.json"))
	for path, value := range least {
		if got, ok := full[path]; ok && path != "endpoints[0].kind" && path != "endpoints[1].kind" {
			require.NotEqual(t, value, got, "daemon_full.json should not set %s to its default", path)
		}
	}
	checkGolden(t, "settings/daemon_full.values.txt", formatValues(full))
	checkGolden(t, "settings/daemon_least.values.txt", formatValues(least))
	sample, err := os.ReadFile(filepath.Join(root, "conf/shelfledged.sample.json"))
	require.NoError(t, err)
	checkGolden(t, "settings/daemon_sample.values.txt", formatValues(daemonValues(t, string(sample))))
}

func TestDaemonAcceptsSettings(t *testing.T) {
	for _, name := range []string{"settings/daemon_full.json", "settings/daemon_least.json"} {
		got := runProgram(t, "testdata", "shelfledged", "--settings", name, "--check-settings")
		require.Equal(t, outcome{stdout: "the settings are valid\n"}, got, name)
	}
}

// TestFullDaemonSettingsNameEveryField checks that daemon_full.json sets each field that the daemon decodes.
func TestFullDaemonSettingsNameEveryField(t *testing.T) {
	text := readTestdata(t, "settings/daemon_full.json")
	index := regexp.MustCompile(`\[\d+\]`)
	for path := range daemonValues(t, text) {
		name := index.ReplaceAllString(path, "")
		require.Contains(t, text, fmt.Sprintf("%q:", name[strings.LastIndex(name, ".")+1:]), path)
	}
}

// TestDaemonRejectsSettings compares the daemon's error for each rejected file with the golden file.
func TestDaemonRejectsSettings(t *testing.T) {
	least := readTestdata(t, "settings/daemon_least.json")
	cases := []struct{ title, text string }{{"broken", truncatedSettings}, {"empty", ""}, {"list", "[]"}}
	for _, c := range parseEdits(daemonRejectedEdits) {
		cases = append(cases, struct{ title, text string }{c.path + " " + c.value, editJSON(t, least, c.path, c.value)})
	}
	var out strings.Builder
	for _, c := range cases {
		_, err := setting.Parse("file.json", []byte(c.text))
		require.Error(t, err, c.title)
		fmt.Fprintf(&out, "== %s\n%s\n", c.title, goTypePattern.ReplaceAllString(err.Error(), ""))
	}
	checkGolden(t, "settings/daemon_rejected.txt", out.String())
}

const truncatedSettings = "{\n\"halls\": [\n"

// TestDaemonExitsOnInvalidSettings compares exit code and output of the daemon with the golden file, for settings files that are
// missing, malformed or invalid.
func TestDaemonExitsOnInvalidSettings(t *testing.T) {
	least := readTestdata(t, "settings/daemon_least.json")
	folder := resolvedTempDir(t)
	writeFile(t, folder, "broken.json", truncatedSettings)
	writeFile(t, folder, "wrong.json", editJSON(t, editJSON(t, least, "limits.max_attempts", "0"), "log.level", `"loud"`))
	var out strings.Builder
	for _, file := range []string{"broken.json", "wrong.json", "none.json"} {
		for _, arguments := range [][]string{{"--settings", file}, {"--settings", file, "--check-settings"}} {
			got := runProgram(t, folder, "shelfledged", arguments...)
			fmt.Fprintf(&out, "== %s\n%s", strings.Join(arguments, " "), got.text(folder))
		}
	}
	checkGolden(t, "settings/daemon_ended.txt", out.String())
}
