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

// Values of Event.Action that start or end a test, end a package or carry output.
const (
	actionRun    = "run"
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
	// ImportPath is the package of a build event.
	ImportPath string
}

// Run holds the results and the output of a test run.
type Run struct {
	// results holds the last action of each test, by package and name, without subtests. It is actionRun for a test that did not end.
	results map[string]string
	// output holds the output of each test, package and build.
	output map[string][]string
	// failedPackages holds the packages whose failure must be explained by a failed test.
	failedPackages map[string]bool
	// summary holds the last line of output of each package.
	summary []string
}

// ReadRun reads the events of a test run; input that is not JSON is an error.
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
			return nil, fmt.Errorf("known failures: decode events of the test run: %w", err)
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
	case actionRun:
		r.recordResult(event, name)
	case actionPass, actionFail, actionSkip:
		r.endTestOrPackage(event, name)
	case actionOutput, "build-output":
		r.output[name] = append(r.output[name], event.Output)
	case "build-fail":
		r.failedPackages[name] = true
	}
}

func (r *Run) endTestOrPackage(event Event, name string) {
	if event.Test != "" {
		r.recordResult(event, name)
		return
	}
	if event.Action == actionFail {
		r.failedPackages[event.Package] = true
	}
	r.summary = append(r.summary, lastLine(r.output[name]))
}

// recordResult records the action of a test. The result of a subtest is part of the result of its test.
func (r *Run) recordResult(event Event, name string) {
	if !strings.Contains(event.Test, "/") {
		r.results[name] = event.Action
	}
}

// lastLine returns the last non-empty line, with which go test ends a package.
func lastLine(lines []string) string {
	for _, line := range slices.Backward(lines) {
		if trimmed := strings.TrimSpace(line); trimmed != "" {
			return trimmed
		}
	}
	return ""
}
