// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package verdict

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Verdict is the result of comparing a test run with the list of known failures.
type Verdict struct {
	// Passed and Skipped count tests without subtests.
	Passed, Skipped int
	// Known are the listed tests that failed as expected.
	Known []Entry
	// Targets are the listed make targets, which are not part of the test run.
	Targets []Entry
	// Problems are the reasons why the run is not accepted; it is empty for an accepted run.
	Problems   []string
	unexpected []string
	run        *Run
}

// Judge compares a run with the list. status is the exit status of go test; a run with a non-zero status and no failed
// test is not accepted.
func (r *Run) Judge(entries []Entry, status int) *Verdict {
	verdict := &Verdict{run: r}
	listed := verdict.checkListed(entries)
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
			verdict.unexpected = append(verdict.unexpected, name)
		}
	}
	slices.Sort(verdict.unexpected)
	for _, name := range verdict.unexpected {
		if r.results[name] == actionRun {
			verdict.reject("%s did not end", name)
			continue
		}
		verdict.reject("%s failed and is not listed", name)
	}
	verdict.checkPackages(failing, status)
	verdict.rejectRaces()
	return verdict
}

// raceWarning is the line that the race detector prints for each data race.
const raceWarning = "WARNING: DATA RACE"

// rejectRaces rejects a run with a data race, even if the race is in a test that is known to fail.
func (v *Verdict) rejectRaces() {
	for name, lines := range v.run.output {
		if !slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, raceWarning) }) {
			continue
		}
		v.reject("%s has a data race", name)
		if !slices.Contains(v.unexpected, name) {
			v.unexpected = append(v.unexpected, name)
		}
	}
	slices.Sort(v.Problems)
}

// Failed returns the entries whose tests failed in the run.
func (r *Run) Failed(entries []Entry) []Entry {
	var failed []Entry
	for _, entry := range entries {
		if r.results[entry.Test] == actionFail {
			failed = append(failed, entry)
		}
	}
	return failed
}

// checkListed checks the result of each listed test and returns the names of the listed tests that failed.
func (v *Verdict) checkListed(entries []Entry) map[string]bool {
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

// checkPackages rejects a failure that no failed test explains, such as a failed build.
func (v *Verdict) checkPackages(failing map[string]bool, status int) {
	for name := range v.run.failedPackages {
		if !failing[name] {
			v.unexpected = append(v.unexpected, name)
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

// Write writes the package summaries, the output of unlisted failures, the known failures, the problems and the counts.
// It returns the error of the writer.
func (v *Verdict) Write(writer io.Writer) error {
	var text strings.Builder
	for _, line := range v.run.summary {
		fmt.Fprintln(&text, line)
	}
	for _, name := range v.unexpected {
		v.writeOutput(&text, name)
	}
	for _, entry := range slices.Concat(v.Known, v.Targets) {
		fmt.Fprintf(&text, "known red: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, problem := range v.Problems {
		fmt.Fprintln(&text, "not accepted:", problem)
	}
	fmt.Fprintf(&text, "%d known red\n", len(v.Known))
	fmt.Fprintf(&text, "%d passed, %d failed, %d skipped\n", v.Passed, len(v.unexpected), v.Skipped)
	_, err := io.WriteString(writer, text.String())
	return err
}

// writeOutput appends the output of a package, or of a test and its subtests.
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

// packageOf returns the import path of the package of a test.
func packageOf(name string) string {
	return name[:strings.LastIndex(name, ".")]
}
