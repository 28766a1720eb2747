// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// entryFolders are the folders with the entry program's code that writes log lines.
var entryFolders = []string{"cmd/shelfledge-entry", "platform", "routers/entry", "services/entry", "modules/entry"}

// logMethods maps the logger's methods to the index of their message argument.
var logMethods = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Log": 1}

// TestOperationsPageHasEveryLogLineAndReason checks that docs/OPERATIONS.md, the page for engineers on call, has each log message of
// the entry program and each reason of a failed request.
func TestOperationsPageHasEveryLogLineAndReason(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	page := string(content)
	lines, reasons := readLogLines(t)
	assert.Greater(t, len(lines), minLines)
	assert.Greater(t, len(reasons), minReasons)
	for text := range lines {
		assert.Contains(t, page, `"msg":"`+text+`"`)
	}
	for text := range reasons {
		assert.Contains(t, page, "`"+text+"`")
	}
}

// TestOperationsPageNamesPackageOfEachLine checks that each row of the two tables for reasons and log lines has the package
// that decides them.
func TestOperationsPageNamesPackageOfEachLine(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	rows := 0
	for _, heading := range []string{"From a reason to its rule", "What the process believes"} {
		_, section, found := strings.Cut(string(content), "\n## "+heading+"\n")
		require.True(t, found, heading)
		section, _, _ = strings.Cut(section, "\n## ")
		for line := range strings.SplitSeq(section, "\n") {
			if !strings.HasPrefix(line, "| `") {
				continue
			}
			rows++
			assert.Regexp(t, "`(platform|(services|routers|modules)/entry/[a-z/]+)`", line)
		}
	}
	assert.Greater(t, rows, minLines+minReasons)
}

const (
	// minLines and minReasons are the minimum numbers of log lines and reasons. They detect a scan that finds too few.
	minLines   = 15
	minReasons = 10
)

// readLogLines returns the messages of the entry program's log lines, and its reasons of failed requests.
func readLogLines(t *testing.T) (lines, reasons map[string]bool) {
	t.Helper()
	lines, reasons = make(map[string]bool), make(map[string]bool)
	for _, folder := range entryFolders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				addLogLine(node, lines)
				addReason(node, reasons)
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
	return lines, reasons
}

// addLogLine adds the message of a log call.
func addLogLine(node ast.Node, lines map[string]bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	index, ok := logMethods[method.Sel.Name]
	if !ok || len(call.Args) <= index {
		return
	}
	if text, ok := stringLiteral(call.Args[index]); ok {
		lines[text] = true
	}
}

// addReason adds a string that becomes the reason in a request's log line: a constant of the type Reason, or a literal assigned
// to a field named reason.
func addReason(node ast.Node, reasons map[string]bool) {
	switch node := node.(type) {
	case *ast.ValueSpec:
		if named, ok := node.Type.(*ast.Ident); !ok || named.Name != "Reason" {
			return
		}
		for _, value := range node.Values {
			if text, ok := stringLiteral(value); ok {
				reasons[text] = true
			}
		}
	case *ast.AssignStmt:
		for i, target := range node.Lhs {
			field, ok := target.(*ast.SelectorExpr)
			if !ok || !strings.EqualFold(field.Sel.Name, "reason") || i >= len(node.Rhs) {
				continue
			}
			if text, ok := stringLiteral(node.Rhs[i]); ok {
				reasons[text] = true
			}
		}
	}
}

func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil && text != ""
}
