// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const program = "./cmd/shelfledge-entry"

// moduleRoot returns the root directory of the module.
func moduleRoot(t *testing.T) string {
	t.Helper()
	output, err := exec.Command("go", "env", "GOMOD").Output()
	require.NoError(t, err)
	return filepath.Dir(strings.TrimSpace(string(output)))
}

// sourceFile is a parsed source file of the program and the directory of its package.
type sourceFile struct {
	directory string
	tree      *ast.File
}

var (
	sourcesOnce sync.Once
	sourcesRead []sourceFile
	sourcesErr  error
)

// parsedSources parses the files of all packages of this module that are linked into the program. The result is cached.
func parsedSources(t *testing.T) []sourceFile {
	t.Helper()
	directory := moduleRoot(t)
	sourcesOnce.Do(func() { sourcesRead, sourcesErr = readSources(directory) })
	require.NoError(t, sourcesErr)
	require.NotEmpty(t, sourcesRead)
	return sourcesRead
}

func readSources(root string) ([]sourceFile, error) {
	command := exec.Command("go", "list", "-deps", "-f",
		`{{if and .Module .Module.Main}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}`, program)
	command.Dir = root
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, err
	}
	var files []sourceFile
	for _, path := range strings.Fields(string(output)) {
		tree, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, sourceFile{directory: filepath.Dir(path), tree: tree})
	}
	return files, nil
}

// stringConstants returns the program's string constants by package directory and name.
func stringConstants(files []sourceFile) map[string]map[string]string {
	found := make(map[string]map[string]string)
	for _, file := range files {
		if found[file.directory] == nil {
			found[file.directory] = make(map[string]string)
		}
		ast.Inspect(file.tree, func(node ast.Node) bool {
			specification, ok := node.(*ast.ValueSpec)
			if !ok {
				return true
			}
			for i, name := range specification.Names {
				if i < len(specification.Values) {
					if text, ok := stringLiteral(specification.Values[i]); ok {
						found[file.directory][name.Name] = text
					}
				}
			}
			return true
		})
	}
	return found
}

func stringLiteral(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// logMethodLevels maps the logger's methods that write a line to their levels.
var logMethodLevels = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Warn": "warning", "Warning": "warning", "Error": "error", "Fatal": "fatal", "Panic": "panic",
	"Tracef": "trace", "Debugf": "debug", "Infof": "info", "Warnf": "warning", "Warningf": "warning", "Errorf": "error", "Fatalf": "fatal",
	"Log": "varying", "Logf": "varying",
}

// logScan collects the log calls of one top-level declaration.
type logScan struct {
	packageConstants   map[string]string
	constantsByPackage map[string]map[string]string
	files              []sourceFile
	scope              ast.Node
	calls              []string
}

// text returns the value of a string literal or of a named constant of the same or another package.
func (s *logScan) text(expression ast.Expr) (string, bool) {
	if text, ok := stringLiteral(expression); ok {
		return text, true
	}
	switch name := expression.(type) {
	case *ast.Ident:
		text, ok := s.packageConstants[name.Name]
		return text, ok
	case *ast.SelectorExpr:
		for _, packageConstants := range s.constantsByPackage {
			if text, ok := packageConstants[name.Sel.Name]; ok {
				return text, true
			}
		}
	}
	return "", false
}

// visitCall records a call that writes a log line, if its message is a literal or constant.
func (s *logScan) visitCall(node ast.Node) bool {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return true
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return true
	}
	level, ok := logMethodLevels[selector.Sel.Name]
	if !ok || len(call.Args) == 0 {
		return true
	}
	messageIndex := 0
	if level == "varying" {
		messageIndex = 1
	}
	if messageIndex >= len(call.Args) {
		return true
	}
	message, ok := s.text(call.Args[messageIndex])
	if !ok || isIdentifier(selector.X, "fmt", "errors") {
		return true
	}
	fields := s.fields(selector.X)
	s.calls = append(s.calls, level+" | "+message+" | "+strings.TrimSpace(strings.ReplaceAll(sortedUniqueLines(fields), "\n", " ")))
	return true
}

func isIdentifier(expression ast.Expr, names ...string) bool {
	ident, ok := expression.(*ast.Ident)
	if !ok {
		return false
	}
	for _, candidate := range names {
		if ident.Name == candidate {
			return true
		}
	}
	return false
}

// fields returns the names of the log fields that a chain of calls adds.
func (s *logScan) fields(expression ast.Expr) []string {
	if name, ok := expression.(*ast.Ident); ok {
		return s.loggerFields(name.Name)
	}
	call, ok := expression.(*ast.CallExpr)
	if !ok {
		return nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	fields := s.fields(selector.X)
	switch selector.Sel.Name {
	case "WithError":
		fields = append(fields, "error")
	case "WithField":
		if name, ok := s.text(call.Args[0]); ok {
			return append(fields, name)
		}
		return append(fields, "?")
	case "WithFields":
		return append(fields, s.mapFields(call.Args[0])...)
	}
	return fields
}

// mapFields returns the keys of a map literal, of a map variable of the function, or of a map that a function returns.
func (s *logScan) mapFields(expression ast.Expr) []string {
	switch value := expression.(type) {
	case *ast.CompositeLit:
		var fields []string
		for _, element := range value.Elts {
			if pair, ok := element.(*ast.KeyValueExpr); ok {
				if name, ok := s.text(pair.Key); ok {
					fields = append(fields, name)
				}
			}
		}
		return fields
	case *ast.Ident:
		return s.variableFields(value.Name)
	case *ast.CallExpr:
		return s.returnedFields(value.Fun)
	}
	return []string{"?"}
}

// loggerFields returns the fields of a logger that is stored in a local variable.
func (s *logScan) loggerFields(name string) []string {
	var fields []string
	ast.Inspect(s.scope, func(node ast.Node) bool {
		assignment, ok := node.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != 1 {
			return true
		}
		if target, ok := assignment.Lhs[0].(*ast.Ident); ok && target.Name == name {
			if _, ok := assignment.Rhs[0].(*ast.CallExpr); ok {
				fields = append(fields, s.fields(assignment.Rhs[0])...)
			}
		}
		return true
	})
	return fields
}

// returnedFields returns the keys of the maps that a function of the program creates.
func (s *logScan) returnedFields(function ast.Expr) []string {
	name := ""
	switch called := function.(type) {
	case *ast.Ident:
		name = called.Name
	case *ast.SelectorExpr:
		name = called.Sel.Name
	}
	var fields []string
	for _, file := range s.files {
		for _, declaration := range file.tree.Decls {
			if candidate, ok := declaration.(*ast.FuncDecl); ok && candidate.Name.Name == name {
				fields = append(fields, s.assignedFields(candidate)...)
			}
		}
	}
	return fields
}

func (s *logScan) assignedFields(function *ast.FuncDecl) []string {
	var fields []string
	ast.Inspect(function, func(node ast.Node) bool {
		switch part := node.(type) {
		case *ast.KeyValueExpr:
			if text, ok := stringLiteral(part.Key); ok {
				fields = append(fields, text)
			}
		case *ast.AssignStmt:
			for _, target := range part.Lhs {
				if index, ok := target.(*ast.IndexExpr); ok {
					if text, ok := stringLiteral(index.Index); ok {
						fields = append(fields, text)
					}
				}
			}
		}
		return true
	})
	return fields
}

func (s *logScan) variableFields(name string) []string {
	var fields []string
	ast.Inspect(s.scope, func(node ast.Node) bool {
		assignment, ok := node.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != 1 {
			return true
		}
		switch target := assignment.Lhs[0].(type) {
		case *ast.Ident:
			if _, ok := assignment.Rhs[0].(*ast.CompositeLit); ok && target.Name == name {
				fields = append(fields, s.mapFields(assignment.Rhs[0])...)
			}
		case *ast.IndexExpr:
			if owner, ok := target.X.(*ast.Ident); ok && owner.Name == name {
				if text, ok := s.text(target.Index); ok {
					fields = append(fields, text)
				}
			}
		}
		return true
	})
	return fields
}

// TestLogCallsMatchGolden compares level, message and fields of each log call in the program's
// source with the golden file, independent of the call's package.
func TestLogCallsMatchGolden(t *testing.T) {
	t.Parallel()
	files := parsedSources(t)
	constantsByPackage := stringConstants(files)
	var lines []string
	for _, file := range files {
		for _, declaration := range file.tree.Decls {
			scan := &logScan{files: files, packageConstants: constantsByPackage[file.directory], constantsByPackage: constantsByPackage, scope: declaration}
			ast.Inspect(declaration, scan.visitCall)
			lines = append(lines, scan.calls...)
		}
	}
	checkGolden(t, "log_calls.txt", sortedUniqueLines(lines))
}

// TestLogWordsAreStringLiterals checks that each reason, kind, reply and cause that appears in logs, metrics and
// responses is a complete string literal in the program's source.
func TestLogWordsAreStringLiterals(t *testing.T) {
	t.Parallel()
	found := make(map[string]bool)
	for _, file := range parsedSources(t) {
		ast.Inspect(file.tree, func(node ast.Node) bool {
			if expression, ok := node.(ast.Expr); ok {
				if text, ok := stringLiteral(expression); ok {
					found[text] = true
				}
			}
			return true
		})
	}
	for _, word := range strings.Split(string(readTestdata(t, "words.txt")), "\n") {
		assert.True(t, found[word], "the program's source has no string literal %q", word)
	}
}
