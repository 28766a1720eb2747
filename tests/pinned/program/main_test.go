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
	// root is the module's folder as seen from this one.
	root = "../../.."
	// exitBadUsage is what kong exits with where flags are wrong.
	exitBadUsage = 80
)

// strict lists the programs whose help is pinned word for word.
var strict = []string{"./cmd/shelfledged", "./cmd/shelfctl", "./tools/replay"}

// entryProgram is built for its settings file alone; its flags are pinned elsewhere.
const entryProgram = "./cmd/shelfledge-entry"

var (
	update = flag.Bool("update", false, "write the files under testdata")
	// programs is the folder of the built programs.
	programs string
	// others are the names of the further programs under cmd and tools.
	others []string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "pinned"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(programs) }()
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func build() error {
	listed, err := goTool("list", "-f", `{{if eq .Name "main"}}{{.ImportPath}}{{end}}`, "./cmd/...", "./tools/...")
	if err != nil {
		return err
	}
	pinned := make(map[string]bool)
	for _, path := range append(strict, entryProgram) {
		pinned[filepath.Base(path)] = true
	}
	for _, path := range strings.Fields(listed) {
		if name := filepath.Base(path); !pinned[name] {
			others = append(others, name)
		}
	}
	arguments := []string{"build", "-ldflags=-s -w", "-o", programs + "/"}
	arguments = append(append(arguments, strict...), entryProgram)
	_, err = goTool(append(arguments, missingFrom(strings.Fields(listed), pinned)...)...)
	return err
}

func missingFrom(paths []string, pinned map[string]bool) []string {
	var out []string
	for _, path := range paths {
		if !pinned[filepath.Base(path)] {
			out = append(out, path)
		}
	}
	return out
}

// goTool runs the go command in the module's folder.
func goTool(arguments ...string) (string, error) {
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

// outcome is how a program ended.
type outcome struct {
	code           int
	stdout, stderr string
}

// text gives the outcome without the folder that its files lie in.
func (o outcome) text(folder string) string {
	out := fmt.Sprintf("exit %d\n", o.code)
	for _, part := range []struct{ name, text string }{{"stdout", o.stdout}, {"stderr", o.stderr}} {
		if part.text != "" {
			out += part.name + ":\n" + strings.TrimRight(part.text, "\n") + "\n"
		}
	}
	return strings.ReplaceAll(out, folder+string(filepath.Separator), "")
}

// run runs a built program in a folder, with an environment that changes nothing in its output.
func run(t *testing.T, folder, name string, arguments ...string) outcome {
	t.Helper()
	return runWith(t, folder, nil, name, arguments...)
}

// runWith runs a built program with further variables of the environment.
func runWith(t *testing.T, folder string, variables []string, name string, arguments ...string) outcome {
	t.Helper()
	command := exec.Command(filepath.Join(programs, name), arguments...)
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

// pin holds a text to the file of its name under testdata.
func pin(t *testing.T, name, text string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err, "the pinned file is missing")
	require.Equal(t, string(raw), text, "%s differs: users see a change", file)
}

// temporary gives an empty folder whose name holds no link.
func temporary(t *testing.T) string {
	t.Helper()
	folder, err := filepath.EvalSymlinks(t.TempDir())
	require.NoError(t, err)
	return folder
}

func write(t *testing.T, folder, name, text string) string {
	t.Helper()
	file := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// TestSourcesAreSeen lists every folder, so that a cached result of these tests ends with any change of a file
// that is built into the programs, though the tests import few of them.
func TestSourcesAreSeen(t *testing.T) {
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		return err
	}))
}
