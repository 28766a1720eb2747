// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package verdict_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/knownred/verdict"
)

const events = `{"Action":"run","Package":"example/p","Test":"TestGood"}
{"Action":"pass","Package":"example/p","Test":"TestGood"}
{"Action":"output","Package":"example/p","Test":"TestBad","Output":"it broke\n"}
{"Action":"fail","Package":"example/p","Test":"TestBad/case_1.5"}
{"Action":"fail","Package":"example/p","Test":"TestBad"}
{"Action":"output","Package":"example/p","Output":"FAIL\texample/p\n"}
{"Action":"fail","Package":"example/p"}
{"Action":"pass","Package":"example/q","Test":"TestFine"}
{"Action":"output","Package":"example/q","Output":"ok  \texample/q\n"}
{"Action":"pass","Package":"example/q"}
`

func judge(t *testing.T, events, list string, status int) *verdict.Verdict {
	t.Helper()
	run, err := verdict.ReadRun(strings.NewReader(events))
	require.NoError(t, err)
	entries, err := verdict.ParseList(list)
	require.NoError(t, err)
	return run.Judge(entries, status)
}

func TestUnlistedFailureIsRejectedWithItsOutput(t *testing.T) {
	result := judge(t, events, "# nothing\n\n", 1)
	assert.Equal(t, []string{"example/p.TestBad failed and is not listed"}, result.Problems)
	var text strings.Builder
	require.NoError(t, result.Write(&text))
	assert.Contains(t, text.String(), "it broke")
	assert.Contains(t, text.String(), "ok  \texample/q")
	assert.Contains(t, text.String(), "\n2 passed, 1 failed, 0 skipped\n")
}

func TestListedFailureIsAcceptedAndPrinted(t *testing.T) {
	result := judge(t, events, "example/p.TestBad | a fault | issue 1", 1)
	assert.Empty(t, result.Problems)
	var text strings.Builder
	require.NoError(t, result.Write(&text))
	assert.Contains(t, text.String(), "known red: example/p.TestBad: a fault (issue 1)")
	assert.Contains(t, text.String(), "\n1 known red\n2 passed, 0 failed, 0 skipped\n")
}

func TestListedTestThatPassesOrIsMissingIsRejected(t *testing.T) {
	list := "example/p.TestBad | a | 1\nexample/q.TestFine | b | 2\nexample/q.TestGone | c | 3\nmake demo | d | 4\n"
	result := judge(t, events, list, 1)
	assert.Equal(t, []string{
		"example/q.TestFine is listed and did not fail", "example/q.TestGone is listed and does not exist",
	}, result.Problems)
	assert.Len(t, result.Targets, 1)
}

func TestDataRaceIsRejectedEvenInListedTest(t *testing.T) {
	race := `{"Action":"output","Package":"example/p","Test":"TestBad","Output":"WARNING: DATA RACE\n"}` + "\n"
	result := judge(t, race+events, "example/p.TestBad | a fault | issue 1", 1)
	assert.Equal(t, []string{"example/p.TestBad has a data race"}, result.Problems)
	var text strings.Builder
	require.NoError(t, result.Write(&text))
	assert.Contains(t, text.String(), "it broke", "the output of the test must be printed")
	outside := `{"Action":"output","Package":"example/q","Output":"WARNING: DATA RACE\n"}` + "\n"
	result = judge(t, outside+events, "example/p.TestBad | a fault | issue 1", 1)
	assert.Equal(t, []string{"example/q has a data race"}, result.Problems, "a race outside of any test must be rejected")
}

func TestRunFailedReturnsOnlyListedTestsThatFailed(t *testing.T) {
	list := "example/p.TestBad | a | 1\nexample/q.TestFine | b | 2\nexample/other.TestElsewhere | c | 3\nmake demo | d | 4\n"
	run, err := verdict.ReadRun(strings.NewReader(events))
	require.NoError(t, err)
	entries, err := verdict.ParseList(list)
	require.NoError(t, err)
	failed := run.Failed(entries)
	assert.Equal(t, entries[:1], failed)
	assert.Empty(t, run.Judge(failed, 1).Problems)
	assert.Equal(t, []string{"example/p.TestBad failed and is not listed"}, run.Judge(run.Failed(entries[1:]), 1).Problems)
}

func TestFailureWithoutFailedTestIsRejected(t *testing.T) {
	passed := `{"Action":"pass","Package":"example/q","Test":"TestFine"}` + "\n"
	build := `{"ImportPath":"example/p","Action":"build-output","Output":"does not compile\n"}
{"ImportPath":"example/p","Action":"build-fail"}
{"Action":"fail","Package":"example/p","FailedBuild":"example/p"}
`
	assert.Equal(t, []string{"example/p failed without a failing test"}, judge(t, passed+build, "", 1).Problems)
	assert.Equal(t, []string{"go test ended with status 2 without a failing package"}, judge(t, passed, "", 2).Problems)
	assert.Equal(t, []string{"no test ran"}, judge(t, "", "", 0).Problems)
	assert.Empty(t, judge(t, passed, "", 0).Problems)
}

// TestTestThatDoesNotEndIsNamed guards against a time-out of a package whose cause is not printed: go test reports the stacks as output of
// the test that was running, and no result of that test.
func TestTestThatDoesNotEndIsNamed(t *testing.T) {
	hanging := `{"Action":"run","Package":"example/p","Test":"TestHangs"}
{"Action":"output","Package":"example/p","Test":"TestHangs","Output":"panic: test timed out\n"}
{"Action":"output","Package":"example/p","Output":"FAIL\texample/p\n"}
{"Action":"fail","Package":"example/p"}
`
	result := judge(t, hanging, "", 1)
	assert.Equal(t, []string{"example/p.TestHangs did not end"}, result.Problems)
	var text strings.Builder
	require.NoError(t, result.Write(&text))
	assert.Contains(t, text.String(), "panic: test timed out")
	listed := judge(t, hanging, "example/p.TestHangs | a fault | issue 1", 1)
	assert.Contains(t, listed.Problems, "example/p.TestHangs did not end")
}

func TestParseListReportsLineOfError(t *testing.T) {
	for list, problem := range map[string]string{
		"a | b":                    "known failures: line 1: is not \"test | cause | issue\"",
		"\na | | c":                "known failures: line 2: leaves a field empty",
		"a | b | c\na | other | d": "known failures: line 2: names a again",
	} {
		_, err := verdict.ParseList(list)
		var bad *verdict.ErrBadLine
		require.ErrorAs(t, err, &bad)
		assert.Equal(t, problem, err.Error())
	}
}
