// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

import (
	"go/ast"
	"go/parser"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/language"
)

// TestPagesReferToExistingNames resolves each name in backticks: a path, a test, a symbol, a flag, a make target, a
// metric, a setting, or a string constant of the code, such as a log message or a reason.
func TestPagesReferToExistingNames(t *testing.T) {
	repo := readRepository(t)
	used := make(map[string]bool)
	count := 0
	for _, doc := range readPages(t) {
		for _, named := range doc.mentions() {
			count++
			if doc.isIncident() && !named.mustExistInIncidents() {
				continue
			}
			if exceptions[named.text] != "" {
				used[named.text] = true
				continue
			}
			assert.True(t, repo.defines(named), "%s refers to `%s`, which does not exist", named.page, named.text)
		}
		for _, line := range doc.code {
			assert.True(t, repo.definesCommand(line), "%s shows %q, whose target or flag does not exist", doc.path, line)
		}
	}
	assert.Greater(t, count, minMentions, "number of names in backticks")
	for text, reason := range exceptions {
		assert.True(t, used[text], "no page refers to `%s` (%s): remove the exception", text, reason)
	}
}

// minMentions is the minimum number of names in backticks. It detects a scan that reads no pages.
const minMentions = 500

func TestLinkedFilesExist(t *testing.T) {
	count := 0
	for _, doc := range readPages(t) {
		for _, link := range doc.links() {
			count++
			assert.True(t, exists(link), "%s links to %s", doc.path, link)
		}
	}
	assert.NotZero(t, count)
}

func TestLinkedSectionsExist(t *testing.T) {
	count := 0
	for _, doc := range readPages(t) {
		for _, linked := range doc.linkedSections() {
			count++
			content, err := os.ReadFile(filepath.Join(root, linked.path))
			require.NoError(t, err, "%s links to %s", doc.path, linked.path)
			assert.Contains(t, anchors(string(content)), linked.anchor, "%s links to %s", doc.path, linked.path)
		}
	}
	assert.NotZero(t, count)
}

func TestReferencedJournalEntriesExist(t *testing.T) {
	files, err := os.ReadDir(filepath.Join(root, "journal"))
	require.NoError(t, err)
	count := 0
	for _, doc := range readPages(t) {
		for _, id := range doc.journalEntries() {
			count++
			found := slices.ContainsFunc(files, func(file os.DirEntry) bool { return strings.HasSuffix(file.Name(), "-"+id+".json") })
			assert.True(t, found, "%s refers to journal entry %s, which does not exist", doc.path, id)
		}
	}
	assert.NotZero(t, count)
}

func TestStatedDurationsMatchConstants(t *testing.T) {
	repo := readRepository(t)
	count := 0
	for _, doc := range readPages(t) {
		for _, stated := range doc.statedDurations(t) {
			count++
			assert.Contains(t, repo.durations[stated.constant], stated.value, "%s: value of %s differs from the constant", doc.path, stated.constant)
		}
	}
	assert.NotZero(t, count)
}

// TestFailureTableRowsNameTests checks that the last cell of each row of the failure table has the name of a test or the text
// "no test".
func TestFailureTableRowsNameTests(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs", "ARCHITECTURE.md"))
	require.NoError(t, err)
	_, section, found := strings.Cut(string(content), "\n## When a dependency fails\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	rows := 0
	for line := range strings.SplitSeq(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < minFailureCells || strings.Contains(line, "| --- |") || strings.HasPrefix(line, "| failure |") {
			continue
		}
		rows++
		assert.Regexp(t, "^ `Test|no test", cells[len(cells)-2], "%s", cells[1])
	}
	assert.Greater(t, rows, minFailures)
}

const (
	// minFailureCells is the minimum number of parts after splitting a row of the failure table at its bars.
	minFailureCells = 8
	// minFailures is the minimum number of failures in the table. It covers failures of the store, the planner, peers,
	// endpoints, the weight store, the platform's list, a hall and the clock.
	minFailures = 16
)

// TestUnknownNamesAreReported checks that the tests of this package report names and values that do not exist, with one invented
// name of each kind.
func TestUnknownNamesAreReported(t *testing.T) {
	repo := readRepository(t)
	madeUp := []string{
		"services/nowhere", "docs/nowhere.md", "TestNothingOfThatName", "nowhereConstant", "balance.Nowhere", "--no-such-flag", "-q", "make nothing",
		"shelfledge_nothing_total", "limits.nowhere", "reason nobody gives", `"reason":"nobody gives"`, "NOWHERE_SET", "/v1/nowhere", "nowhere.go",
	}
	for _, text := range madeUp {
		assert.False(t, repo.defines(mention{page: "docs/ARCHITECTURE.md", text: text}), "%s", text)
	}
	for _, line := range []string{"make nothing", "shelfledged --no-such-flag"} {
		assert.False(t, repo.definesCommand(line), "%s", line)
	}
	stated := parsePage("page.md", "`upstreamDial`, 77 s and 78 s (`firstEjection`)").statedDurations(t)
	require.Len(t, stated, 2)
	for _, duration := range stated {
		assert.NotContains(t, repo.durations[duration.constant], duration.value)
	}
}

var (
	makeCommandPattern = regexp.MustCompile(`^make ([a-z]+)`)
	flagPattern        = regexp.MustCompile(`(?:^|\s)(--?[a-z][a-z-]*)`)
	symbolPattern      = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z][A-Za-z0-9]*)$`)
	settingPattern     = regexp.MustCompile(`^[a-z_]+(\.[a-z_]+)+$`)
	filePattern        = regexp.MustCompile(`\.(go|md|json|yml|toml|jsonl)$`)
	logFieldPattern    = regexp.MustCompile(`^"(msg|reason|result|wait)":"([^"]+)"$`)
	numberPattern      = regexp.MustCompile(`\bN\b`)
	placeholderPattern = regexp.MustCompile(`\b[A-Z]{2,}\b`)
	httpRequestPattern = regexp.MustCompile(`^(GET|POST|DELETE|HEAD|OPTIONS|PUT) (/\S*)$`)
)

// defines reports whether a name in backticks exists.
func (repo *repository) defines(named mention) bool {
	text := named.text
	switch {
	case repo.isValue(text):
		return true
	case httpRequestPattern.MatchString(text):
		return repo.definesURL(httpRequestPattern.FindStringSubmatch(text)[2])
	case logFieldPattern.MatchString(text):
		return repo.literals[logFieldPattern.FindStringSubmatch(text)[2]] || strings.Contains(repo.joinedStrings, text)
	case strings.HasPrefix(text, "shelfledge_"):
		return repo.metrics[strings.TrimPrefix(text, "shelfledge_")]
	case strings.HasPrefix(text, "-"):
		return repo.flags[text]
	case strings.HasPrefix(text, "/"):
		return repo.definesURL(text)
	case strings.Contains(text, " "):
		return repo.definesPhrase(text)
	case strings.Contains(text, "/") || filePattern.MatchString(text):
		return pathExists(named) || repo.files[text] || repo.definesURL(text)
	case symbolPattern.MatchString(text) && repo.definesMember(text):
		return true
	case settingPattern.MatchString(text):
		return repo.definesSetting(text)
	default:
		return repo.declared[text] || repo.literals[text] || strings.Contains(repo.configSamples, `"`+text+`"`) || isPackage(text)
	}
}

// isValue reports whether a text is a value instead of a name: a number, a duration, or the maximum or minimum of values and
// constants.
func (repo *repository) isValue(text string) bool {
	expression, err := parser.ParseExpr(text)
	return err == nil && repo.isValueExpression(expression)
}

func (repo *repository) isValueExpression(expression ast.Expr) bool {
	switch node := expression.(type) {
	case *ast.CallExpr:
		called, ok := node.Fun.(*ast.Ident)
		if !ok || (called.Name != "max" && called.Name != "min") {
			return false
		}
		return !slices.ContainsFunc(node.Args, func(argument ast.Expr) bool { return !repo.isOperand(argument) })
	default:
		_, ok := evaluate(expression)
		return ok
	}
}

// isOperand reports whether an argument of max or min is a value, a declared name, or a binary expression of these.
func (repo *repository) isOperand(expression ast.Expr) bool {
	switch node := expression.(type) {
	case *ast.Ident:
		return repo.declared[node.Name]
	case *ast.BinaryExpr:
		return repo.isOperand(node.X) && repo.isOperand(node.Y)
	default:
		return repo.isValueExpression(expression)
	}
}

// definesPhrase reports whether a text with spaces exists: a command, a statement of the operators' language or a string constant
// of the code.
func (repo *repository) definesPhrase(text string) bool {
	if isCommand(text) {
		return repo.definesCommand(text)
	}
	if repo.literals[text] {
		return true
	}
	statement := numberPattern.ReplaceAllString(text, "1")
	for _, before := range []string{"", "show endpoints where "} {
		if _, err := language.Parse(before + statement); err == nil {
			return true
		}
	}
	return false
}

// definesMember reports whether a package declares a qualified name, such as balance.Full.
func (repo *repository) definesMember(text string) bool {
	parts := symbolPattern.FindStringSubmatch(text)
	return repo.members[parts[1]][parts[2]]
}

// programs are the programs whose command lines are checked.
var programs = []string{"make", "go", "shelfledged", "shelfledge-entry", "shelfctl", "standin", "tracegen"}

func isCommand(text string) bool {
	program, _, _ := strings.Cut(text, " ")
	return slices.Contains(programs, program)
}

// definesCommand reports whether the make target or the flags of a command line exist. It accepts lines that do not start with one
// of the programs.
func (repo *repository) definesCommand(line string) bool {
	line, _, _ = strings.Cut(line, " #")
	if !isCommand(line) {
		return true
	}
	if match := makeCommandPattern.FindStringSubmatch(line); match != nil {
		return repo.targets[match[1]]
	}
	if strings.HasPrefix(line, "go ") {
		return true
	}
	for _, match := range flagPattern.FindAllStringSubmatch(line, -1) {
		if !repo.flags[match[1]] {
			return false
		}
	}
	return true
}

// definesURL reports whether each fixed part of a URL path or store key occurs in a string constant. Words in capitals are
// placeholders for values.
func (repo *repository) definesURL(text string) bool {
	for part := range strings.SplitSeq(placeholderPattern.ReplaceAllString(text, "\x00"), "\x00") {
		part = strings.Trim(part, "/")
		if part != "" && !strings.Contains(repo.joinedStrings, part) {
			return false
		}
	}
	return true
}

// definesSetting reports whether each part of a setting's name, such as limits.drain_limit, is the name of an encoded field.
func (repo *repository) definesSetting(text string) bool {
	for part := range strings.SplitSeq(text, ".") {
		if !repo.settings[part] {
			return false
		}
	}
	return true
}

// pathExists reports whether a file or folder exists, relative to the root or to the page's folder.
func pathExists(named mention) bool {
	text := strings.TrimSuffix(strings.TrimPrefix(named.text, "./"), "/...")
	return exists(text) || exists(filepath.Join(filepath.Dir(named.page), text))
}

func exists(path string) bool {
	found, err := filepath.Glob(filepath.Join(root, path))
	return err == nil && len(found) > 0
}

// isPackage reports whether a folder of this name exists at most two levels below the root.
func isPackage(name string) bool {
	return exists(name) || exists(filepath.Join("*", name)) || exists(filepath.Join("*", "*", name))
}
