// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package verdict

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Verdict is the outcome of a run against the list of known failures.
type Verdict struct {
	// Passed and Skipped count tests, subtests not counted.
	Passed, Skipped int
	// Known are listed tests that failed, as expected.
	Known []Entry
	// Targets are listed make targets, which the run does not show.
	Targets []Entry
	// Problems say why the run is not accepted; empty if it is.
	Problems []string
	failed   []string
	run      *Run
}

// Judge compares a run with the list. status is the exit status of go test: a run that failed without a
// failing test is not accepted.
func (r *Run) Judge(entries []Entry, status int) *Verdict {
	verdict := &Verdict{run: r}
	listed := verdict.judgeListed(entries)
	failing := make(map[string]bool)
	for name, result := range r.results {
		switch {
		case result == actionPass:
			verdict.Passed++
		case result == actionSkip:
			verdict.Skipped++
		case listed[name]:
			failing[packageOf(name)] = true
		default:
			failing[packageOf(name)] = true
			verdict.failed = append(verdict.failed, name)
		}
	}
	slices.Sort(verdict.failed)
	for _, name := range verdict.failed {
		verdict.reject("%s failed and is not listed", name)
	}
	verdict.judgePackages(failing, status)
	verdict.judgeRaces()
	return verdict
}

// raceWarning is what the race detector prints of each race that it finds.
const raceWarning = "WARNING: DATA RACE"

// judgeRaces rejects a data race, also in a test that is known to fail.
func (v *Verdict) judgeRaces() {
	for name, lines := range v.run.output {
		if !slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, raceWarning) }) {
			continue
		}
		v.reject("%s has a data race", name)
		if !slices.Contains(v.failed, name) {
			v.failed = append(v.failed, name)
		}
	}
	slices.Sort(v.Problems)
}

// Failed gives those of the entries that failed in the run.
func (r *Run) Failed(entries []Entry) []Entry {
	var failed []Entry
	for _, entry := range entries {
		if r.results[entry.Test] == actionFail {
			failed = append(failed, entry)
		}
	}
	return failed
}

// judgeListed looks up each listed test and gives the names of those that failed.
func (v *Verdict) judgeListed(entries []Entry) map[string]bool {
	listed := make(map[string]bool)
	for _, entry := range entries {
		if entry.IsTarget() {
			v.Targets = append(v.Targets, entry)
			continue
		}
		switch v.run.results[entry.Test] {
		case actionFail:
			v.Known = append(v.Known, entry)
			listed[entry.Test] = true
		case "":
			v.reject("%s is listed and does not exist", entry.Test)
		default:
			v.reject("%s is listed and did not fail", entry.Test)
		}
	}
	return listed
}

// judgePackages rejects a failure that no failing test explains, such as a build that failed.
func (v *Verdict) judgePackages(failing map[string]bool, status int) {
	for name := range v.run.failedPackages {
		if !failing[name] {
			v.failed = append(v.failed, name)
			v.reject("%s failed without a failing test", name)
		}
	}
	if status != 0 && len(v.run.failedPackages) == 0 {
		v.reject("go test ended with status %d without a failing package", status)
	}
	if len(v.run.results) == 0 {
		v.reject("no test ran")
	}
	slices.Sort(v.Problems)
}

func (v *Verdict) reject(format string, arguments ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, arguments...))
}

// Write prints the packages, the output of tests that failed without being listed, the known failures and the
// verdict; it returns the first error of the writer.
func (v *Verdict) Write(writer io.Writer) error {
	var text strings.Builder
	for _, line := range v.run.summary {
		fmt.Fprintln(&text, line)
	}
	for _, name := range v.failed {
		v.writeOutput(&text, name)
	}
	for _, entry := range slices.Concat(v.Known, v.Targets) {
		fmt.Fprintf(&text, "known red: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, problem := range v.Problems {
		fmt.Fprintln(&text, "not accepted:", problem)
	}
	fmt.Fprintf(&text, "%d known red\n", len(v.Known))
	fmt.Fprintf(&text, "%d passed, %d failed, %d skipped\n", v.Passed, len(v.failed), v.Skipped)
	_, err := io.WriteString(writer, text.String())
	return err
}

// writeOutput prints what a test and its subtests, or a package, printed.
func (v *Verdict) writeOutput(text *strings.Builder, name string) {
	var names []string
	for candidate := range v.run.output {
		if candidate == name || strings.HasPrefix(candidate, name+"/") {
			names = append(names, candidate)
		}
	}
	slices.Sort(names)
	for _, each := range names {
		for _, line := range v.run.output[each] {
			text.WriteString(line)
		}
	}
}

// packageOf cuts the test's name off.
func packageOf(name string) string {
	return name[:strings.LastIndex(name, ".")]
}
