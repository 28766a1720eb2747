// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// commandLines lists command lines by program. No process listens on the address 127.0.0.1:1.
var commandLines = map[string][]string{
	"shelfledged": {
		"--help", "--no-such-flag", "surplus", "--settings", "--settings none.json", "--check-settings", "--version --no-such-flag", "",
	},
	"shelfctl": {
		"--help", "run --help", "prompt --help", "top --help", "version --help", "--no-such-flag", "", "no-such-command", "run --output xml show",
		"run --file none.txt", "--key-file none.key run x", "--ca none.pem run x", "--ca bad.pem run x", "--address here run x",
		"--wait soon run x", "top --every soon", "--address 127.0.0.1:1 --wait 1ms run x", "--address 127.0.0.1:1 top --no-such-flag",
	},
	"replay": {
		"--help", "--no-such-flag", "", "--fleet none.json", "--trace none.jsonl", "--fleet none.json --trace none.jsonl", "--seed x",
	},
}

func TestFlagsAndExitCodes(t *testing.T) {
	for name, list := range commandLines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := resolvedTempDir(t)
			writeFile(t, folder, "bad.pem", "no certificate\n")
			var out strings.Builder
			for _, call := range list {
				got := runProgram(t, folder, name, strings.Fields(call)...)
				fmt.Fprintf(&out, "== %s %s\n%s", name, call, got.text(folder))
			}
			checkGolden(t, "flags/"+name+".txt", out.String())
		})
	}
}

// TestEnvironmentVariables compares the effect of the environment variables with the golden file: those of shelfctl replace flags, that of
// the entry gives its settings file.
func TestEnvironmentVariables(t *testing.T) {
	folder := resolvedTempDir(t)
	writeFile(t, folder, "file.json", readTestdata(t, "settings/entry_full.json"))
	var out strings.Builder
	for _, call := range []struct{ variable, line string }{
		{"SHELFCTL_ADDRESS=here", "shelfctl run x"},
		{"SHELFCTL_KEY_FILE=none.key", "shelfctl run x"},
		{"SHELFLEDGE_CONFIG=file.json", "shelfledge-entry --check-settings"},
		{"SHELFLEDGE_CONFIG=none.json", "shelfledge-entry --check-settings"},
		{"SHELFLEDGE_CONFIG=none.json", "shelfledge-entry --check-settings --settings file.json"},
	} {
		words := strings.Fields(call.line)
		got := runProgramWithEnv(t, folder, []string{call.variable}, words[0], words[1:]...)
		fmt.Fprintf(&out, "== %s %s\n%s", call.variable, call.line, got.text(folder))
	}
	checkGolden(t, "flags/variables.txt", out.String())
}

func TestVersionIsPrinted(t *testing.T) {
	for _, call := range [][]string{{"shelfledged", "--version"}, {"shelfctl", "version"}} {
		got := runProgram(t, resolvedTempDir(t), call[0], call[1:]...)
		require.Zero(t, got.code)
		require.Empty(t, got.stderr)
		require.Regexp(t, regexp.MustCompile(`^\S.*\n$`), got.stdout)
	}
}

// TestOtherProgramsHandleFlags checks only how the remaining programs handle --help and an unknown flag. Their options are not
// a stable interface.
func TestOtherProgramsHandleFlags(t *testing.T) {
	for _, name := range otherPrograms {
		help := runProgram(t, resolvedTempDir(t), name, "--help")
		require.Zero(t, help.code, name)
		require.True(t, strings.HasPrefix(help.stdout, "Usage: "+name+" "), "%s: %s", name, help.stdout)
		bad := runProgram(t, resolvedTempDir(t), name, "--no-such-flag")
		require.Equal(t, exitUsageError, bad.code, name)
		require.Equal(t, name+": error: unknown flag --no-such-flag", strings.TrimSpace(bad.stderr))
	}
}
