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

// entryFolders have the code of the entry program that writes log lines.
var entryFolders = []string{"cmd/shelfledge-entry", "platform", "routers/entry", "services/entry", "modules/entry"}

// logCalls are the logger's methods, with the place of the text among their arguments.
var logCalls = map[string]int{"Info": 0, "Warn": 0, "Error": 0, "Log": 1}

// TestOperationsTellsEveryLineAndReason wants each log line of the entry program, and each reason of a failed request, on
// the page that engineers read at night.
func TestOperationsTellsEveryLineAndReason(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	page := string(content)
	lines, reasons := readLines(t)
	assert.Greater(t, len(lines), leastLines)
	assert.Greater(t, len(reasons), leastReasons)
	for text := range lines {
		assert.Contains(t, page, `"msg":"`+text+`"`)
	}
	for text := range reasons {
		assert.Contains(t, page, "`"+text+"`")
	}
}

// TestOperationsLeadsFromEachLineToItsPackage wants a package of the code in each row of the two tables that lead from a reason
// or a line to what decided it.
func TestOperationsLeadsFromEachLineToItsPackage(t *testing.T) {
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
	assert.Greater(t, rows, leastLines+leastReasons)
}

const (
	// leastLines and leastReasons guard against a scan that finds nothing.
	leastLines   = 15
	leastReasons = 10
)

// readLines returns the texts of the entry program's log lines, and its reasons of failed requests.
func readLines(t *testing.T) (lines, reasons map[string]bool) {
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
				addLine(node, lines)
				addReason(node, reasons)
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
	return lines, reasons
}

// addLine takes in the text of a call of the logger.
func addLine(node ast.Node, lines map[string]bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	place, ok := logCalls[method.Sel.Name]
	if !ok || len(call.Args) <= place {
		return
	}
	if text, ok := textOf(call.Args[place]); ok {
		lines[text] = true
	}
}

// addReason takes in a text that becomes the reason of a request's line: a constant of the type Reason, or what a field
// named reason is set to.
func addReason(node ast.Node, reasons map[string]bool) {
	switch node := node.(type) {
	case *ast.ValueSpec:
		if named, ok := node.Type.(*ast.Ident); !ok || named.Name != "Reason" {
			return
		}
		for _, value := range node.Values {
			if text, ok := textOf(value); ok {
				reasons[text] = true
			}
		}
	case *ast.AssignStmt:
		for i, target := range node.Lhs {
			field, ok := target.(*ast.SelectorExpr)
			if !ok || !strings.EqualFold(field.Sel.Name, "reason") || i >= len(node.Rhs) {
				continue
			}
			if text, ok := textOf(node.Rhs[i]); ok {
				reasons[text] = true
			}
		}
	}
}

func textOf(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil && text != ""
}
