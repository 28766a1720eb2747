// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package verdict

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Actions of test events that end a test or a package.
const (
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionOutput = "output"
)

// Event is one event of `go test -json`.
type Event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// ImportPath names the package of an event of the build.
	ImportPath string
}

// Run is what a test run's events say.
type Run struct {
	// results holds the last action of each test, by package and name; subtests are left out.
	results map[string]string
	// output holds what each test, package or build printed.
	output map[string][]string
	// failedPackages are those whose failure must be explained by a failed test.
	failedPackages map[string]bool
	// summary holds the line with which each package closed.
	summary []string
}

// ReadRun reads the events of a test run; lines that are no events are kept as output.
func ReadRun(reader io.Reader) (*Run, error) {
	run := &Run{
		results: make(map[string]string), output: make(map[string][]string), failedPackages: make(map[string]bool),
	}
	decoder := json.NewDecoder(reader)
	for {
		var event Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return run, nil
		}
		if err != nil {
			return nil, fmt.Errorf("known failures: events of the test run: %w", err)
		}
		run.add(event)
	}
}

func (r *Run) add(event Event) {
	name := event.Package
	if event.Test != "" {
		name = event.Package + "." + event.Test
	}
	if event.ImportPath != "" {
		name = event.ImportPath
	}
	switch event.Action {
	case actionPass, actionFail, actionSkip:
		r.end(event, name)
	case actionOutput, "build-output":
		r.output[name] = append(r.output[name], event.Output)
	case "build-fail":
		r.failedPackages[name] = true
	}
}

func (r *Run) end(event Event, name string) {
	if event.Test != "" {
		// A subtest's result is part of its test's.
		if !strings.Contains(event.Test, "/") {
			r.results[name] = event.Action
		}
		return
	}
	if event.Action == actionFail {
		r.failedPackages[event.Package] = true
	}
	r.summary = append(r.summary, lastLine(r.output[name]))
}

// lastLine is the line with which go test closes a package.
func lastLine(lines []string) string {
	for _, line := range slices.Backward(lines) {
		if trimmed := strings.TrimSpace(line); trimmed != "" {
			return trimmed
		}
	}
	return ""
}
