// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// addressCount is the number of loopback addresses that this test process has used.
var addressCount atomic.Int64

// newLoopbackAddress returns a loopback address that no other run uses, neither in this test process nor in another one.
// A port that was found free on it therefore stays free until the program listens on it.
func newLoopbackAddress() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+addressCount.Add(1)%100, process>>8&0xff, process&0xff)
}

var (
	buildOnce  sync.Once
	builtPath  string
	builtError error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if builtPath != "" {
		_ = os.RemoveAll(filepath.Dir(builtPath))
	}
	os.Exit(code)
}

// buildProgram builds the program on the first call and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	directory := moduleRoot(t)
	buildOnce.Do(func() {
		var target string
		if target, builtError = os.MkdirTemp("", "shelfledge-entry"); builtError != nil {
			return
		}
		builtPath = filepath.Join(target, "shelfledge-entry")
		build := exec.Command("go", "build", "-o", builtPath, program)
		build.Dir = directory
		if output, err := build.CombinedOutput(); err != nil {
			builtError = fmt.Errorf("%w: %s", err, output)
		}
	})
	require.NoError(t, builtError)
	return builtPath
}

// ports has a loopback address and its free ports for one run of the program.
type ports struct {
	ip                             string
	callers, ready, peers, metrics string
}

func freePorts(t *testing.T) ports {
	t.Helper()
	ip := newLoopbackAddress()
	var found []string
	for range 4 {
		listener, err := net.Listen("tcp4", ip+":0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		found = append(found, strconv.Itoa(listener.Addr().(*net.TCPAddr).Port))
	}
	return ports{ip: ip, callers: found[0], ready: found[1], peers: found[2], metrics: found[3]}
}

// writeSettings writes testdata/settings.json with the addresses of one run and returns the path of the new file.
func writeSettings(t *testing.T, p ports, store string) string {
	t.Helper()
	text := strings.NewReplacer("IP", p.ip, "CALLERS", p.callers, "READY", p.ready, "PEERS", p.peers, "STORE", store).
		Replace(string(readTestdata(t, "settings.json")))
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestCommandLine compares flags, usage texts, errors and exit codes with the golden file.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	free := freePorts(t)
	taken, err := net.Listen("tcp4", free.ip+":0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	occupied := free
	occupied.peers = strconv.Itoa(taken.Addr().(*net.TCPAddr).Port)
	good, busy := writeSettings(t, free, "127.0.0.1:9"), writeSettings(t, occupied, "127.0.0.1:9")
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte("{"), 0o600))
	cases := []struct {
		name        string
		environment string
		arguments   []string
	}{
		{"help", "", []string{"--help"}},
		{"unknown flag", "", []string{"--no-such-flag"}},
		{"unknown log level", "", []string{"--log-level=loud"}},
		{"unknown argument", "", []string{"argument"}},
		{"bad port", "", []string{"--metrics-port=70000"}},
		{"missing settings", "", []string{"--settings=/nonexistent/settings.json"}},
		{"missing settings by the environment", "SHELFLEDGE_CONFIG=/nonexistent/environment.json", nil},
		{"broken settings", "", []string{"--settings=" + broken}},
		{"bad settings", "", []string{"--settings=testdata/bad_settings.json"}},
		{"bad settings checked", "", []string{"--check-settings", "--settings=testdata/bad_settings.json"}},
		{"good settings checked", "", []string{"--check-settings", "--settings=" + good}},
		{"good settings checked by the environment", "SHELFLEDGE_CONFIG=" + good, []string{"--check-settings"}},
		{"port in use", "", []string{"--settings=" + busy}},
	}
	var text strings.Builder
	for _, testCase := range cases {
		command := exec.Command(buildProgram(t), testCase.arguments...)
		command.Env = append(os.Environ(), testCase.environment)
		var stdout, stderr bytes.Buffer
		command.Stdout, command.Stderr = &stdout, &stderr
		code := exitCode(t, command.Run())
		errorText := stderr.String()
		if strings.HasPrefix(testCase.name, "bad settings") {
			// The program reports invalid settings in no fixed order.
			errorText = sortedUniqueLines(strings.Split(strings.TrimSpace(errorText), "\n"))
		}
		errorText = strings.ReplaceAll(errorText, occupied.ip+":"+occupied.peers, "IP:PORT")
		fmt.Fprintf(&text, "=== %s: exit code %d\n--- output\n%s--- errors\n%s", testCase.name, code, stdout.String(), errorText)
	}
	checkGolden(t, "command_line.txt", text.String())
}

// TestVersion checks that --version prints a text without a settings file. The text depends on the build.
func TestVersion(t *testing.T) {
	t.Parallel()
	output, err := exec.Command(buildProgram(t), "--version").Output()
	require.NoError(t, err)
	require.NotEmpty(t, strings.TrimSpace(string(output)))
}

func exitCode(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return 0
	}
	var failed *exec.ExitError
	require.True(t, errors.As(err, &failed), "%v", err)
	return failed.ExitCode()
}
