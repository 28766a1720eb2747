// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

const operatorKey = "pinned"

// runningDaemonSettings are settings of a daemon that has no endpoints and cannot reach its key-value service.
var runningDaemonSettings = fmt.Sprintf(`{
  "instance": {"id": "h1-i1", "hall": "h1"}, "halls": ["h1"],
  "listen": {"callers": {"address": "127.0.0.1:0"}, "operators": {"address": "127.0.0.1:0"}, "peers": {"address": "127.0.0.1:0"}},
  "kv": {"addresses": ["127.0.0.1:1"]}, "limits": {"leave_notice": "1ms", "drain_limit": "2s"}, "log": {"format": "json"},
  "operators": {"keys": [{"name": "ops", "role": "read", "sha256": "%x"}]}
}`, sha256.Sum256([]byte(operatorKey)))

// daemonProcess is a running daemon and the log lines read from it.
type daemonProcess struct {
	command   *exec.Cmd
	log       *bufio.Scanner
	lines     []map[string]any
	operators string
}

func startDaemon(t *testing.T, folder string) *daemonProcess {
	t.Helper()
	command := exec.Command(filepath.Join(binaryFolder, "shelfledged"), "--settings", writeFile(t, folder, "live.json", runningDaemonSettings))
	command.Env = []string{}
	stderr, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	d := &daemonProcess{command: command, log: bufio.NewScanner(stderr)}
	for d.operators == "" && d.readLogLine(t) {
		d.operators, _ = d.lines[len(d.lines)-1]["operators"].(string)
	}
	require.NotEmpty(t, d.operators, "the daemon has not logged its operators' address")
	return d
}

func (d *daemonProcess) readLogLine(t *testing.T) bool {
	t.Helper()
	if !d.log.Scan() {
		return false
	}
	var line map[string]any
	require.NoError(t, json.Unmarshal(d.log.Bytes(), &line), d.log.Text())
	d.lines = append(d.lines, line)
	return true
}

// stop shuts the daemon down with SIGTERM and reads its remaining log lines.
func (d *daemonProcess) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, d.command.Process.Signal(syscall.SIGTERM))
	for d.readLogLine(t) {
		continue
	}
	require.NoError(t, d.command.Wait(), "exit code after SIGTERM is not 0")
}

// logKinds returns the kinds of log lines, without event lines, since their number depends on timing.
func (d *daemonProcess) logKinds() string {
	return formatLogKinds(d.lines)
}

func formatLogKinds(list []map[string]any) string {
	kinds := make(map[string]bool)
	for _, line := range list {
		if _, ok := line["event"]; ok {
			continue
		}
		kinds[fmt.Sprintf("%s | %s | %s\n", line["level"], line["msg"], strings.Join(slices.Sorted(maps.Keys(line)), " "))] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), "")
}

func (d *daemonProcess) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + d.operators + path)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

var sampleValuePattern = regexp.MustCompile(` \S+$`)

// sampleNames returns names and labels of a scrape's samples, without those of events_total.
func sampleNames(scrape string) string {
	var out strings.Builder
	for line := range strings.Lines(scrape) {
		if strings.HasPrefix(line, metricPrefix) && !strings.HasPrefix(line, metricPrefix+"events_total") {
			out.WriteString(sampleValuePattern.ReplaceAllString(strings.TrimSpace(line), "") + "\n")
		}
	}
	return out.String()
}

func TestRunningDaemon(t *testing.T) {
	t.Parallel()
	folder := resolvedTempDir(t)
	key := writeFile(t, folder, "key", operatorKey+"\n")
	d := startDaemon(t, folder)
	var out strings.Builder
	for _, call := range [][]string{
		{"run", "count halls"}, {"--key-file", key, "run", "(("}, {"--key-file", key, "run", "show nothing"},
		{"--key-file", key, "run", "pin x@1"}, {"--key-file", key, "run", "show halls"},
	} {
		got := runProgram(t, folder, "shelfctl", append([]string{"--address", d.operators}, call...)...)
		fmt.Fprintf(&out, "shelfctl run %q: exit %d\n", call[len(call)-1], got.code)
	}
	for _, path := range []string{"/healthz", "/metrics", "/none"} {
		status, _ := d.get(t, path)
		fmt.Fprintf(&out, "GET %s: %d\n", path, status)
	}
	status, _ := d.get(t, "/readyz")
	require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	_, scrape := d.get(t, "/metrics")
	d.stop(t)
	checkGolden(t, "daemon/answers.txt", out.String())
	checkGolden(t, "daemon/samples.txt", sampleNames(scrape))
	checkGolden(t, "daemon/log.txt", d.logKinds())
}

// TestDaemonStartFailure compares log line and exit code with the golden file, for a listener whose address does not belong
// to the host.
func TestDaemonStartFailure(t *testing.T) {
	folder := resolvedTempDir(t)
	text := editJSON(t, runningDaemonSettings, "listen.callers.address", `"192.0.2.1:1"`)
	got := runProgram(t, folder, "shelfledged", "--settings", writeFile(t, folder, "file.json", text))
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(got.stderr), &line))
	checkGolden(t, "daemon/not_started.txt", fmt.Sprintf("exit %d\n%serror: %s\n", got.code, formatLogKinds([]map[string]any{line}), line["error"]))
}
