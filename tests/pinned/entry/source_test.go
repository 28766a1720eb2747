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

// root gives the directory of the module.
func root(t *testing.T) string {
	t.Helper()
	output, err := exec.Command("go", "env", "GOMOD").Output()
	require.NoError(t, err)
	return filepath.Dir(strings.TrimSpace(string(output)))
}

// sourceFile is one parsed file of the program with its package's directory.
type sourceFile struct {
	directory string
	tree      *ast.File
}

var (
	sourcesOnce sync.Once
	sourcesRead []sourceFile
	sourcesErr  error
)

// sources parses the files of all packages of this module that the program consists of.
func sources(t *testing.T) []sourceFile {
	t.Helper()
	directory := root(t)
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

// constants gives the string constants of the program by package directory and name.
func constants(files []sourceFile) map[string]map[string]string {
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
					if text, ok := literal(specification.Values[i]); ok {
						found[file.directory][name.Name] = text
					}
				}
			}
			return true
		})
	}
	return found
}

func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// logCalls gives the levels by the methods that write a line.
var logCalls = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Warn": "warning", "Warning": "warning", "Error": "error", "Fatal": "fatal", "Panic": "panic",
	"Tracef": "trace", "Debugf": "debug", "Infof": "info", "Warnf": "warning", "Warningf": "warning", "Errorf": "error", "Fatalf": "fatal",
	"Log": "varying", "Logf": "varying",
}

// logScan looks for log calls in one function.
type logScan struct {
	texts  map[string]string
	all    map[string]map[string]string
	files  []sourceFile
	body   ast.Node
	chains []string
}

// text resolves a literal or a named constant of the same or another package.
func (s *logScan) text(expression ast.Expr) (string, bool) {
	if text, ok := literal(expression); ok {
		return text, true
	}
	switch name := expression.(type) {
	case *ast.Ident:
		text, ok := s.texts[name.Name]
		return text, ok
	case *ast.SelectorExpr:
		for _, texts := range s.all {
			if text, ok := texts[name.Sel.Name]; ok {
				return text, true
			}
		}
	}
	return "", false
}

// visit notes a call that writes a line with a message that is known.
func (s *logScan) visit(node ast.Node) bool {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return true
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return true
	}
	level, ok := logCalls[selector.Sel.Name]
	if !ok || len(call.Args) == 0 {
		return true
	}
	place := 0
	if level == "varying" {
		place = 1
	}
	if place >= len(call.Args) {
		return true
	}
	message, ok := s.text(call.Args[place])
	if !ok || isPackage(selector.X, "fmt", "errors") {
		return true
	}
	fields := s.fields(selector.X)
	s.chains = append(s.chains, level+" | "+message+" | "+strings.TrimSpace(strings.ReplaceAll(sortedLines(fields), "\n", " ")))
	return true
}

func isPackage(expression ast.Expr, names ...string) bool {
	name, ok := expression.(*ast.Ident)
	if !ok {
		return false
	}
	for _, one := range names {
		if name.Name == one {
			return true
		}
	}
	return false
}

// fields gives the names of the fields that a chain of calls adds.
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

// mapFields gives the keys of a map in place, or of a variable of the function.
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
		return s.functionFields(value.Fun)
	}
	return []string{"?"}
}

// loggerFields gives the fields of a logger that the function holds in a variable.
func (s *logScan) loggerFields(name string) []string {
	var fields []string
	ast.Inspect(s.body, func(node ast.Node) bool {
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

// functionFields gives the keys of the maps that a function of the program makes.
func (s *logScan) functionFields(function ast.Expr) []string {
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
			if made, ok := declaration.(*ast.FuncDecl); ok && made.Name.Name == name {
				fields = append(fields, s.madeFields(made)...)
			}
		}
	}
	return fields
}

func (s *logScan) madeFields(function *ast.FuncDecl) []string {
	var fields []string
	ast.Inspect(function, func(node ast.Node) bool {
		switch part := node.(type) {
		case *ast.KeyValueExpr:
			if text, ok := literal(part.Key); ok {
				fields = append(fields, text)
			}
		case *ast.AssignStmt:
			for _, target := range part.Lhs {
				if index, ok := target.(*ast.IndexExpr); ok {
					if text, ok := literal(index.Index); ok {
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
	ast.Inspect(s.body, func(node ast.Node) bool {
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

// TestLogLinesInTheSource pins level, message and fields of each log call of the program,
// wherever it stands.
func TestLogLinesInTheSource(t *testing.T) {
	t.Parallel()
	files := sources(t)
	all := constants(files)
	var lines []string
	for _, file := range files {
		for _, declaration := range file.tree.Decls {
			scan := &logScan{files: files, texts: all[file.directory], all: all, body: declaration}
			ast.Inspect(declaration, scan.visit)
			lines = append(lines, scan.chains...)
		}
	}
	pin(t, "log_calls.txt", sortedLines(lines))
}

// TestWordsOfTheLog demands that the reasons, kinds, replies and causes that logs, metrics and
// answers carry stand in the program's text, each as a whole literal.
func TestWordsOfTheLog(t *testing.T) {
	t.Parallel()
	found := make(map[string]bool)
	for _, file := range sources(t) {
		ast.Inspect(file.tree, func(node ast.Node) bool {
			if expression, ok := node.(ast.Expr); ok {
				if text, ok := literal(expression); ok {
					found[text] = true
				}
			}
			return true
		})
	}
	for _, word := range strings.Split(string(input(t, "words.txt")), "\n") {
		assert.True(t, found[word], "no literal of the program says %q any more", word)
	}
}
