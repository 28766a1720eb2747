// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"go/ast"
	"go/types"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	logPackage = "github.com/sirupsen/logrus"
	// computedText stands for a text that is not constant in the source.
	computedText = "(computed)"
)

var levelMethodPattern = regexp.MustCompile(`^(Trace|Debug|Info|Print|Warn|Warning|Error|Fatal|Panic)(f|ln)?$`)

// logCollector collects the kinds of log lines and the names of their fields.
type logCollector struct {
	*checkedSource
	kinds  map[string]bool
	fields map[string]bool
}

func (s *logCollector) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CallExpr:
		s.call(node)
	case *ast.CompositeLit:
		if s.typeName(node) == logPackage+".Fields" {
			s.addFields(s.literalKeys(node))
		}
	case *ast.IndexExpr:
		if s.typeName(node.X) == logPackage+".Fields" {
			s.addFields(s.possibleKeys(node.Index))
		}
	}
	return true
}

func (s *logCollector) addFields(names []string) {
	for _, name := range names {
		s.fields[name] = true
	}
}

func (s *logCollector) call(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !s.isLogger(selector.X) {
		return
	}
	if selector.Sel.Name == "WithField" {
		s.addFields(s.possibleKeys(call.Args[0]))
	}
	level := levelMethodPattern.FindStringSubmatch(selector.Sel.Name)
	if level == nil || len(call.Args) == 0 {
		return
	}
	message, ok := s.text(call.Args[0])
	if !ok {
		message = computedText
	}
	names := s.entryFields(selector.X, 0)
	slices.Sort(names)
	kind := fmt.Sprintf("%s | %s | %s", strings.ToLower(level[1]), message, strings.Join(slices.Compact(names), " "))
	s.kinds[strings.TrimSpace(kind)] = true
}

// isLogger reports whether an expression is a logrus logger, a logrus entry or the logrus package.
func (s *logCollector) isLogger(e ast.Expr) bool {
	if name, ok := s.object(e).(*types.PkgName); ok {
		return name.Imported().Path() == logPackage
	}
	name := s.typeName(e)
	return name == logPackage+".Entry" || name == logPackage+".Logger"
}

// maxAssignmentSteps limits how many assignments entryFields follows, so that cyclic assignments end.
const maxAssignmentSteps = 8

// entryFields returns the names of the fields that the function adds to a log entry.
func (s *logCollector) entryFields(e ast.Expr, steps int) []string {
	if steps > maxAssignmentSteps {
		return nil
	}
	if object := s.object(e); object != nil {
		var out []string
		for _, value := range s.values[object] {
			out = append(out, s.entryFields(value, steps+1)...)
		}
		return out
	}
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !s.isLogger(selector.X) {
		return nil
	}
	out := s.entryFields(selector.X, steps+1)
	switch selector.Sel.Name {
	case "WithError":
		out = append(out, "error")
	case "WithField":
		out = append(out, s.possibleKeys(call.Args[0])...)
	case "WithFields":
		out = append(out, s.mapKeys(call.Args[0])...)
	}
	return out
}

// mapKeys returns the keys of a map of fields, which is a literal or a variable.
func (s *logCollector) mapKeys(e ast.Expr) []string {
	if literal, ok := e.(*ast.CompositeLit); ok {
		return s.literalKeys(literal)
	}
	object := s.object(e)
	if object == nil {
		return []string{computedText}
	}
	var out []string
	for _, value := range s.values[object] {
		if literal, ok := value.(*ast.CompositeLit); ok {
			out = append(out, s.literalKeys(literal)...)
		}
	}
	for _, key := range s.addedKeys[object] {
		out = append(out, s.possibleKeys(key)...)
	}
	return out
}

func (s *logCollector) literalKeys(literal *ast.CompositeLit) []string {
	var out []string
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			out = append(out, s.possibleKeys(pair.Key)...)
		}
	}
	return out
}

// possibleKeys returns the possible values of a key: its constant value, or the constants of the literal that its loop iterates over.
func (s *logCollector) possibleKeys(e ast.Expr) []string {
	if text, ok := s.text(e); ok {
		return []string{text}
	}
	if selector, ok := e.(*ast.SelectorExpr); ok {
		e = selector.X
	}
	literal := s.rangedLiterals[s.object(e)]
	if literal == nil {
		return []string{computedText}
	}
	if _, ok := s.info.TypeOf(literal).Underlying().(*types.Map); ok {
		return s.literalKeys(literal)
	}
	var out []string
	ast.Inspect(literal, func(node ast.Node) bool {
		if e, ok := node.(ast.Expr); ok {
			if text, ok := s.text(e); ok {
				out = append(out, text)
			}
		}
		return true
	})
	return out
}

// TestLogLines compares the kinds of log lines in the source of shelfledged and shelfctl, and the label values that it sets on
// metrics, with the golden files. Reading the source also covers log lines that a test run cannot cause. Moving a log line to
// another place does not change the golden files, but a new message or field does.
func TestLogLines(t *testing.T) {
	t.Parallel()
	s := &logCollector{checkedSource: loadSource(t, "./cmd/shelfledged", "./cmd/shelfctl"), kinds: make(map[string]bool), fields: make(map[string]bool)}
	for _, file := range s.files {
		ast.Inspect(file, s.visit)
	}
	list := func(values []string) string { return strings.Join(values, "\n") + "\n" }
	checkGolden(t, "log/kinds.txt", list(slices.Sorted(maps.Keys(s.kinds))))
	checkGolden(t, "log/fields.txt", list(slices.Sorted(maps.Keys(s.fields))))
	checkGolden(t, "log/events.txt", list(s.constantsOfTypesWith("takeover")))
	checkGolden(t, "log/reasons.txt", list(s.constantsOfTypesWith("queue_full")))
	checkGolden(t, "log/outcomes.txt", list(s.constantsOfTypesWith("answered")))
	checkGolden(t, "log/claims.txt", list(s.constantsOfTypesWith("impossible")))
	checkGolden(t, "metrics/label_values.txt", list(s.labelValues()))
}
