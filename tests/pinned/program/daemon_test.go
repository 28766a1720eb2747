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

// liveSettings start a daemon without endpoints, whose key-value service is away.
var liveSettings = fmt.Sprintf(`{
  "instance": {"id": "h1-i1", "hall": "h1"}, "halls": ["h1"],
  "listen": {"callers": {"address": "127.0.0.1:0"}, "operators": {"address": "127.0.0.1:0"}, "peers": {"address": "127.0.0.1:0"}},
  "kv": {"addresses": ["127.0.0.1:1"]}, "limits": {"leave_notice": "1ms", "drain_limit": "2s"}, "log": {"format": "json"},
  "operators": {"keys": [{"name": "ops", "role": "read", "sha256": "%x"}]}
}`, sha256.Sum256([]byte(operatorKey)))

// liveDaemon is a running daemon and the lines it has logged.
type liveDaemon struct {
	command   *exec.Cmd
	log       *bufio.Scanner
	lines     []map[string]any
	operators string
}

func startDaemon(t *testing.T, folder string) *liveDaemon {
	t.Helper()
	command := exec.Command(filepath.Join(programs, "shelfledged"), "--settings", write(t, folder, "live.json", liveSettings))
	command.Env = []string{}
	stderr, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	d := &liveDaemon{command: command, log: bufio.NewScanner(stderr)}
	for d.operators == "" && d.next(t) {
		d.operators, _ = d.lines[len(d.lines)-1]["operators"].(string)
	}
	require.NotEmpty(t, d.operators, "the daemon does not tell where it listens")
	return d
}

func (d *liveDaemon) next(t *testing.T) bool {
	t.Helper()
	if !d.log.Scan() {
		return false
	}
	var line map[string]any
	require.NoError(t, json.Unmarshal(d.log.Bytes(), &line), d.log.Text())
	d.lines = append(d.lines, line)
	return true
}

// stop ends the daemon by plan and reads its log to the end.
func (d *liveDaemon) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, d.command.Process.Signal(syscall.SIGTERM))
	for d.next(t) {
		continue
	}
	require.NoError(t, d.command.Wait(), "a planned stop exits with 0")
}

// kinds gives the kinds of lines, save those of events, whose number depends on the time.
func (d *liveDaemon) kinds() string {
	return logKinds(d.lines)
}

func logKinds(list []map[string]any) string {
	kinds := make(map[string]bool)
	for _, line := range list {
		if _, ok := line["event"]; ok {
			continue
		}
		kinds[fmt.Sprintf("%s | %s | %s\n", line["level"], line["msg"], strings.Join(slices.Sorted(maps.Keys(line)), " "))] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), "")
}

func (d *liveDaemon) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + d.operators + path)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

var sampleValue = regexp.MustCompile(` \S+$`)

// samples gives a scrape's samples without their values, save those of events.
func samples(scrape string) string {
	var out strings.Builder
	for line := range strings.Lines(scrape) {
		if strings.HasPrefix(line, ownPrefix) && !strings.HasPrefix(line, ownPrefix+"events_total") {
			out.WriteString(sampleValue.ReplaceAllString(strings.TrimSpace(line), "") + "\n")
		}
	}
	return out.String()
}

func TestRunningDaemon(t *testing.T) {
	t.Parallel()
	folder := temporary(t)
	key := write(t, folder, "key", operatorKey+"\n")
	d := startDaemon(t, folder)
	var out strings.Builder
	for _, call := range [][]string{
		{"run", "count halls"}, {"--key-file", key, "run", "(("}, {"--key-file", key, "run", "show nothing"},
		{"--key-file", key, "run", "pin x@1"}, {"--key-file", key, "run", "show halls"},
	} {
		got := run(t, folder, "shelfctl", append([]string{"--address", d.operators}, call...)...)
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
	pin(t, "daemon/answers.txt", out.String())
	pin(t, "daemon/samples.txt", samples(scrape))
	pin(t, "daemon/log.txt", d.kinds())
}

// TestDaemonThatCannotStart pins the line and the exit code where a listener's address is not this machine's.
func TestDaemonThatCannotStart(t *testing.T) {
	folder := temporary(t)
	text := edited(t, liveSettings, "listen.callers.address", `"192.0.2.1:1"`)
	got := run(t, folder, "shelfledged", "--settings", write(t, folder, "file.json", text))
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(got.stderr), &line))
	pin(t, "daemon/not_started.txt", fmt.Sprintf("exit %d\n%serror: %s\n", got.code, logKinds([]map[string]any{line}), line["error"]))
}
