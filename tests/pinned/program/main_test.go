// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// root is the path of the module's root directory relative to this package.
	root = "../../.."
	// exitUsageError is kong's exit code for invalid flags.
	exitUsageError = 80
)

// pinnedPrograms lists the programs whose complete help text is in golden files.
var pinnedPrograms = []string{"./cmd/shelfledged", "./cmd/shelfctl", "./tools/replay"}

// entryProgram is built only to test its settings file. Package tests/pinned/entry tests its flags.
const entryProgram = "./cmd/shelfledge-entry"

var (
	update = flag.Bool("update", false, "rewrite the golden files")
	// binaryFolder is the folder with the built programs.
	binaryFolder string
	// otherPrograms has the names of the remaining programs under cmd and tools.
	otherPrograms []string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRunTests(m))
}

func buildAndRunTests(m *testing.M) int {
	var err error
	if binaryFolder, err = os.MkdirTemp("", "pinned"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binaryFolder) }()
	if err := buildPrograms(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func buildPrograms() error {
	listed, err := runGo("list", "-f", `{{if eq .Name "main"}}{{.ImportPath}}{{end}}`, "./cmd/...", "./tools/...")
	if err != nil {
		return err
	}
	pinned := make(map[string]bool)
	for _, path := range append(pinnedPrograms, entryProgram) {
		pinned[filepath.Base(path)] = true
	}
	for _, path := range strings.Fields(listed) {
		if name := filepath.Base(path); !pinned[name] {
			otherPrograms = append(otherPrograms, name)
		}
	}
	arguments := []string{"build", "-ldflags=-s -w", "-o", binaryFolder + "/"}
	arguments = append(append(arguments, pinnedPrograms...), entryProgram)
	_, err = runGo(append(arguments, pathsNotPinned(strings.Fields(listed), pinned)...)...)
	return err
}

func pathsNotPinned(paths []string, pinned map[string]bool) []string {
	var out []string
	for _, path := range paths {
		if !pinned[filepath.Base(path)] {
			out = append(out, path)
		}
	}
	return out
}

// runGo runs the go command in the module's root directory and returns its output.
func runGo(arguments ...string) (string, error) {
	command := exec.Command("go", arguments...)
	command.Dir = root
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	if err != nil {
		return "", fmt.Errorf("go %s: %w\n%s", strings.Join(arguments, " "), err, stderr.String())
	}
	return string(out), nil
}

// outcome is the exit code and output of a program.
type outcome struct {
	code           int
	stdout, stderr string
}

// text formats the outcome, with the path of the program's working directory removed.
func (o outcome) text(folder string) string {
	out := fmt.Sprintf("exit %d\n", o.code)
	for _, part := range []struct{ name, text string }{{"stdout", o.stdout}, {"stderr", o.stderr}} {
		if part.text != "" {
			out += part.name + ":\n" + strings.TrimRight(part.text, "\n") + "\n"
		}
	}
	return strings.ReplaceAll(out, folder+string(filepath.Separator), "")
}

// runProgram runs a built program in a folder, with a fixed environment so that its output does not depend on the caller's.
func runProgram(t *testing.T, folder, name string, arguments ...string) outcome {
	t.Helper()
	return runProgramWithEnv(t, folder, nil, name, arguments...)
}

// runProgramWithEnv runs a built program with additional environment variables.
func runProgramWithEnv(t *testing.T, folder string, variables []string, name string, arguments ...string) outcome {
	t.Helper()
	command := exec.Command(filepath.Join(binaryFolder, name), arguments...)
	command.Dir = folder
	command.Env = append([]string{"COLUMNS=100", "LANG=C"}, variables...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return outcome{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// checkGolden compares a text with the golden file of that name.
func checkGolden(t *testing.T, name, text string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err, "cannot read golden file")
	require.Equal(t, string(raw), text, "%s differs: a user-visible interface changed", file)
}

// resolvedTempDir returns the path of an empty folder, with symbolic links resolved.
func resolvedTempDir(t *testing.T) string {
	t.Helper()
	folder, err := filepath.EvalSymlinks(t.TempDir())
	require.NoError(t, err)
	return folder
}

func writeFile(t *testing.T, folder, name, text string) string {
	t.Helper()
	file := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// TestCachedResultsDependOnSources walks all folders of the module. The go command then discards cached results of this package after a
// change of any source file of the programs, although the tests import few of their packages.
func TestCachedResultsDependOnSources(t *testing.T) {
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		return err
	}))
}
