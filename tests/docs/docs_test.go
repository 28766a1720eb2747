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

// TestPagesNameOnlyWhatExists resolves each name in backticks: a path, a test, a symbol, a flag, a make target, a
// metric, a setting, or a text of the code, such as a log line's or a reason.
func TestPagesNameOnlyWhatExists(t *testing.T) {
	all := readTree(t)
	used := make(map[string]bool)
	count := 0
	for _, one := range readPages(t) {
		for _, named := range one.mentions() {
			count++
			if one.isRecord() && !named.outlivesRecord() {
				continue
			}
			if exceptions[named.text] != "" {
				used[named.text] = true
				continue
			}
			assert.True(t, all.knows(named), "%s names `%s`, which does not exist", named.page, named.text)
		}
		for _, line := range one.code {
			assert.True(t, all.knowsCommand(line), "%s shows %q, whose target or flag does not exist", one.path, line)
		}
	}
	assert.Greater(t, count, leastMentions, "the pages are read")
	for text, reason := range exceptions {
		assert.True(t, used[text], "no page names `%s` any more (%s): take it off the list", text, reason)
	}
}

// leastMentions guards against a scan that reads nothing.
const leastMentions = 500

func TestLinksLeadToFiles(t *testing.T) {
	count := 0
	for _, one := range readPages(t) {
		for _, link := range one.links() {
			count++
			assert.True(t, exists(link), "%s links to %s", one.path, link)
		}
	}
	assert.NotZero(t, count)
}

func TestLinkedSectionsExist(t *testing.T) {
	count := 0
	for _, one := range readPages(t) {
		for _, linked := range one.sections() {
			count++
			content, err := os.ReadFile(filepath.Join(root, linked.path))
			require.NoError(t, err, "%s links to %s", one.path, linked.path)
			assert.Contains(t, anchors(string(content)), linked.anchor, "%s links to %s", one.path, linked.path)
		}
	}
	assert.NotZero(t, count)
}

func TestNamedJournalEntriesExist(t *testing.T) {
	files, err := os.ReadDir(filepath.Join(root, "journal"))
	require.NoError(t, err)
	count := 0
	for _, one := range readPages(t) {
		for _, id := range one.journalEntries() {
			count++
			found := slices.ContainsFunc(files, func(file os.DirEntry) bool { return strings.HasSuffix(file.Name(), "-"+id+".json") })
			assert.True(t, found, "%s names the journal's %s", one.path, id)
		}
	}
	assert.NotZero(t, count)
}

func TestStatedSpansAreTheConstants(t *testing.T) {
	all := readTree(t)
	count := 0
	for _, one := range readPages(t) {
		for _, stated := range one.statedSpans(t) {
			count++
			assert.Contains(t, all.spans[stated.constant], stated.value, "%s on %s", one.path, stated.constant)
		}
	}
	assert.NotZero(t, count)
}

// TestEachFailureNamesItsTest wants a test, or the words "no test", in the last cell of each row of the table of failures.
func TestEachFailureNamesItsTest(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs", "ARCHITECTURE.md"))
	require.NoError(t, err)
	_, section, found := strings.Cut(string(content), "\n## When a dependency fails\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	rows := 0
	for line := range strings.SplitSeq(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < failureCells || strings.Contains(line, "| --- |") || strings.HasPrefix(line, "| failure |") {
			continue
		}
		rows++
		assert.Regexp(t, "^ `Test|no test", cells[len(cells)-2], "%s", cells[1])
	}
	assert.Greater(t, rows, leastFailures)
}

const (
	// failureCells is the number of parts that the bars of a row of the table of failures make, at least.
	failureCells = 8
	// leastFailures is how many kinds of failures it must tell of: those of the store, the planner, peers, endpoints, the weight
	// store, the platform's list, a hall and the clock.
	leastFailures = 16
)

// TestMadeUpNamesAreFound shows that the check fails where it should: one made-up name of each kind.
func TestMadeUpNamesAreFound(t *testing.T) {
	all := readTree(t)
	madeUp := []string{
		"services/nowhere", "docs/nowhere.md", "TestNothingOfThatName", "nowhereConstant", "balance.Nowhere", "--no-such-flag", "-q", "make nothing",
		"shelfledge_nothing_total", "limits.nowhere", "reason nobody gives", `"reason":"nobody gives"`, "NOWHERE_SET", "/v1/nowhere", "nowhere.go",
	}
	for _, text := range madeUp {
		assert.False(t, all.knows(mention{page: "docs/ARCHITECTURE.md", text: text}), "%s", text)
	}
	for _, line := range []string{"make nothing", "shelfledged --no-such-flag"} {
		assert.False(t, all.knowsCommand(line), "%s", line)
	}
	stated := parsePage("page.md", "`upstreamDial`, 77 s and 78 s (`firstEjection`)").statedSpans(t)
	require.Len(t, stated, 2)
	for _, one := range stated {
		assert.NotContains(t, all.spans[one.constant], one.value)
	}
}

var (
	targetCall  = regexp.MustCompile(`^make ([a-z]+)`)
	flagForm    = regexp.MustCompile(`(?:^|\s)(--?[a-z][a-z-]*)`)
	symbolForm  = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z][A-Za-z0-9]*)$`)
	settingForm = regexp.MustCompile(`^[a-z_]+(\.[a-z_]+)+$`)
	fileForm    = regexp.MustCompile(`\.(go|md|json|yml|toml|jsonl)$`)
	fieldForm   = regexp.MustCompile(`^"(msg|reason|result|wait)":"([^"]+)"$`)
	numberForm  = regexp.MustCompile(`\bN\b`)
	holderForm  = regexp.MustCompile(`\b[A-Z]{2,}\b`)
	callForm    = regexp.MustCompile(`^(GET|POST|DELETE|HEAD|OPTIONS|PUT) (/\S*)$`)
)

// knows tells whether what a page names exists.
func (all *tree) knows(named mention) bool {
	text := named.text
	switch {
	case all.isValue(text):
		return true
	case callForm.MatchString(text):
		return all.knowsURL(callForm.FindStringSubmatch(text)[2])
	case fieldForm.MatchString(text):
		return all.texts[fieldForm.FindStringSubmatch(text)[2]] || strings.Contains(all.allTexts, text)
	case strings.HasPrefix(text, "shelfledge_"):
		return all.metrics[strings.TrimPrefix(text, "shelfledge_")]
	case strings.HasPrefix(text, "-"):
		return all.flags[text]
	case strings.HasPrefix(text, "/"):
		return all.knowsURL(text)
	case strings.Contains(text, " "):
		return all.knowsPhrase(text)
	case strings.Contains(text, "/") || fileForm.MatchString(text):
		return knowsPath(named) || all.files[text] || all.knowsURL(text)
	case symbolForm.MatchString(text) && all.knowsMember(text):
		return true
	case settingForm.MatchString(text):
		return all.knowsSetting(text)
	default:
		return all.declared[text] || all.texts[text] || strings.Contains(all.samples, `"`+text+`"`) || isPackage(text)
	}
}

// isValue tells whether a text is no name but a value: a number, a span, or the greater or lesser of values and constants.
func (all *tree) isValue(text string) bool {
	expression, err := parser.ParseExpr(text)
	return err == nil && all.isValueExpression(expression)
}

func (all *tree) isValueExpression(expression ast.Expr) bool {
	switch node := expression.(type) {
	case *ast.CallExpr:
		called, ok := node.Fun.(*ast.Ident)
		if !ok || (called.Name != "max" && called.Name != "min") {
			return false
		}
		return !slices.ContainsFunc(node.Args, func(argument ast.Expr) bool { return !all.isOperand(argument) })
	default:
		_, ok := evaluate(expression)
		return ok
	}
}

// isOperand tells whether a part of a value is a value itself, a constant, or a product of these.
func (all *tree) isOperand(expression ast.Expr) bool {
	switch node := expression.(type) {
	case *ast.Ident:
		return all.declared[node.Name]
	case *ast.BinaryExpr:
		return all.isOperand(node.X) && all.isOperand(node.Y)
	default:
		return all.isValueExpression(expression)
	}
}

// knowsPhrase resolves what has spaces: a command, a statement of the operators' language or a text of the code.
func (all *tree) knowsPhrase(text string) bool {
	if isCommand(text) {
		return all.knowsCommand(text)
	}
	if all.texts[text] {
		return true
	}
	statement := numberForm.ReplaceAllString(text, "1")
	for _, before := range []string{"", "show endpoints where "} {
		if _, err := language.Parse(before + statement); err == nil {
			return true
		}
	}
	return false
}

// knowsMember resolves what a package declares, such as balance.Full.
func (all *tree) knowsMember(text string) bool {
	parts := symbolForm.FindStringSubmatch(text)
	return all.members[parts[1]][parts[2]]
}

// programs are what a command may begin with.
var programs = []string{"make", "go", "shelfledged", "shelfledge-entry", "shelfctl", "standin", "tracegen"}

func isCommand(text string) bool {
	program, _, _ := strings.Cut(text, " ")
	return slices.Contains(programs, program)
}

// knowsCommand resolves the targets and flags of a line; a line that is no command of ours is none of its concern.
func (all *tree) knowsCommand(line string) bool {
	line, _, _ = strings.Cut(line, " #")
	if !isCommand(line) {
		return true
	}
	if match := targetCall.FindStringSubmatch(line); match != nil {
		return all.targets[match[1]]
	}
	if strings.HasPrefix(line, "go ") {
		return true
	}
	for _, match := range flagForm.FindAllStringSubmatch(line, -1) {
		if !all.flags[match[1]] {
			return false
		}
	}
	return true
}

// knowsURL resolves a URL's path or a store's key by its fixed parts; what is in capitals stands for a value.
func (all *tree) knowsURL(text string) bool {
	for part := range strings.SplitSeq(holderForm.ReplaceAllString(text, "\x00"), "\x00") {
		part = strings.Trim(part, "/")
		if part != "" && !strings.Contains(all.allTexts, part) {
			return false
		}
	}
	return true
}

// knowsSetting resolves a setting, such as limits.drain_limit.
func (all *tree) knowsSetting(text string) bool {
	for part := range strings.SplitSeq(text, ".") {
		if !all.settings[part] {
			return false
		}
	}
	return true
}

// knowsPath resolves a file or folder from the top or from the page's own folder.
func knowsPath(named mention) bool {
	text := strings.TrimSuffix(strings.TrimPrefix(named.text, "./"), "/...")
	return exists(text) || exists(filepath.Join(filepath.Dir(named.page), text))
}

func exists(path string) bool {
	found, err := filepath.Glob(filepath.Join(root, path))
	return err == nil && len(found) > 0
}

// isPackage tells whether a folder of one of the layers has the name.
func isPackage(name string) bool {
	return exists(name) || exists(filepath.Join("*", name)) || exists(filepath.Join("*", "*", name))
}
