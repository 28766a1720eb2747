// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package constants_test checks that docs/constants.md agrees with the constants of the packages that make decisions.
package constants_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	root          = "../.."
	constantsPage = root + "/docs/constants.md"
	measuredPage  = root + "/docs/design/0006-measured.md"
)

// decidingPackages are the folders of the packages whose constants the page must list.
var decidingPackages = []string{
	"services/entry/admission", "services/entry/balance", "services/entry/retry", "services/entry/proxy/attempt",
	"services/entry/directory", "services/entry/limit", "services/entry/loading", "services/quarantine",
	"services/entry/reach", "services/entry/origin", "services/entry/origin/exchange", "services/entry/lease", "services/entry/coordinator/forecast", "services/entry/coordinator/report", "services/entry/coordinator/view",
	"services/entry/coordinator/follow", "services/entry/coordinator/gather", "services/entry/coordinator/member", "services/entry/coordinator/tree", "services/entry/coordinator/recall",
	"services/daemon/placement", "services/daemon/placement/backoff", "services/daemon/placement/popularity",
	"services/daemon/placement/queue", "services/daemon/routing", "services/daemon/membership", "services/daemon/budget",
	"services/daemon/node", "services/daemon/node/digest", "services/daemon/node/followed", "services/daemon/node/lease",
	"services/daemon/node/listing", "services/daemon/node/loads", "services/daemon/node/ownership",
	"services/daemon/node/waiting",
}

// constant is a numeric constant as declared in the code.
type constant struct {
	value   string
	comment string
}

// row has the cells of a constant's row on the page.
type row struct {
	value, unit, tradeOff, source string
}

func TestPageListsEachConstantWithItsValue(t *testing.T) {
	sections := readPage(t)
	for _, folder := range decidingPackages {
		assert.Contains(t, sections, folder, "docs/constants.md has no section for this package")
	}
	for folder, rows := range sections {
		declared := readConstants(t, folder)
		for name, actual := range declared {
			listed, ok := rows[name]
			if assert.True(t, ok, "%s: docs/constants.md has no row for %s", folder, name) {
				assert.Equal(t, actual.value, listed.value, "%s: value of %s", folder, name)
			}
		}
		for name := range rows {
			assert.Contains(t, declared, name, "%s: the package declares no such constant", folder)
		}
	}
}

func TestEachConstantHasUnitTradeOffAndSource(t *testing.T) {
	content, err := os.ReadFile(measuredPage)
	require.NoError(t, err)
	quoted := regexp.MustCompile(`"([^"]+)"`)
	for folder, rows := range readPage(t) {
		for name, listed := range rows {
			assert.NotEmpty(t, listed.unit, "%s: unit of %s", folder, name)
			assert.NotEmpty(t, listed.tradeOff, "%s: trade-off of %s", folder, name)
			assert.NotEmpty(t, listed.source, "%s: source of %s", folder, name)
			for _, quote := range quoted.FindAllStringSubmatch(listed.source, -1) {
				assert.Contains(t, string(content), "| "+quote[1], "%s: the page of measurements has no row that %s quotes", folder, name)
			}
		}
	}
}

// TestConstantCommentsOmitMeasurements checks that each constant has a comment that does not repeat how the value was found. The
// page documents that in a column that each row must fill.
func TestConstantCommentsOmitMeasurements(t *testing.T) {
	for folder := range readPage(t) {
		for name, declared := range readConstants(t, folder) {
			assert.NotEmpty(t, declared.comment, "%s: comment of %s", folder, name)
			for _, word := range []string{"not measured", "measured:", "measured with", "(commit "} {
				assert.NotContains(t, strings.ToLower(declared.comment), word, "%s: comment of %s", folder, name)
			}
		}
	}
}

// readPage returns the page's rows by folder and name.
func readPage(t *testing.T) map[string]map[string]row {
	t.Helper()
	content, err := os.ReadFile(constantsPage)
	require.NoError(t, err)
	sections := make(map[string]map[string]row)
	var rows map[string]row
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if folder, ok := strings.CutPrefix(line, "## "); ok {
			rows = make(map[string]row)
			sections[folder] = rows
		}
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), " | ")
		require.Len(t, cells, 5, line)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		name := strings.Trim(cells[0], "`")
		require.NotContains(t, rows, name, "constant is listed twice")
		rows[name] = row{value: unquoteValue(cells[1]), unit: cells[2], tradeOff: cells[3], source: cells[4]}
	}
	return sections
}

// unquoteValue returns the expression in a cell, without backticks and with unescaped stars. The page writes expressions other than
// numbers without backticks, since backticks are for names that exist elsewhere in the code, and with escaped stars.
func unquoteValue(cell string) string {
	return strings.ReplaceAll(strings.Trim(cell, "`"), `\*`, "*")
}

// readConstants returns the numeric package-level constants of a folder, without those of test files.
func readConstants(t *testing.T, folder string) map[string]constant {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, paths, folder)
	constants := make(map[string]constant)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		parsed, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		require.NoError(t, err)
		for _, declaration := range parsed.Decls {
			group, ok := declaration.(*ast.GenDecl)
			if ok && group.Tok == token.CONST {
				addConstants(t, files, group, constants)
			}
		}
	}
	return constants
}

// addConstants adds the numeric constants of one declaration. A constant without a comment gets the comment of the constant before it.
func addConstants(t *testing.T, files *token.FileSet, group *ast.GenDecl, constants map[string]constant) {
	t.Helper()
	comment := group.Doc.Text()
	for _, spec := range group.Specs {
		values := spec.(*ast.ValueSpec)
		if values.Doc != nil {
			comment = values.Doc.Text()
		}
		for i, name := range values.Names {
			if len(values.Values) <= i || !isNumeric(values.Values[i]) {
				continue
			}
			var text bytes.Buffer
			require.NoError(t, printer.Fprint(&text, files, values.Values[i]))
			constants[name.Name] = constant{value: text.String(), comment: comment}
		}
	}
}

// isNumeric reports whether an expression is a chosen number. Strings and enumerations with iota are not.
func isNumeric(expression ast.Expr) bool {
	result := true
	ast.Inspect(expression, func(node ast.Node) bool {
		switch part := node.(type) {
		case *ast.BasicLit:
			result = result && part.Kind != token.STRING
		case *ast.Ident:
			result = result && part.Name != "iota"
		}
		return true
	})
	return result
}
