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
	// computed stands for a text that only a run has.
	computed = "(computed)"
)

var levels = regexp.MustCompile(`^(Trace|Debug|Info|Print|Warn|Warning|Error|Fatal|Panic)(f|ln)?$`)

// logScan gathers kinds of log lines and names of fields.
type logScan struct {
	*source
	kinds  map[string]bool
	fields map[string]bool
}

func (s *logScan) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CallExpr:
		s.call(node)
	case *ast.CompositeLit:
		if s.typeName(node) == logPackage+".Fields" {
			s.addFields(s.literalKeys(node))
		}
	case *ast.IndexExpr:
		if s.typeName(node.X) == logPackage+".Fields" {
			s.addFields(s.keys(node.Index))
		}
	}
	return true
}

func (s *logScan) addFields(names []string) {
	for _, name := range names {
		s.fields[name] = true
	}
}

func (s *logScan) call(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !s.isLog(selector.X) {
		return
	}
	if selector.Sel.Name == "WithField" {
		s.addFields(s.keys(call.Args[0]))
	}
	level := levels.FindStringSubmatch(selector.Sel.Name)
	if level == nil || len(call.Args) == 0 {
		return
	}
	message, ok := s.text(call.Args[0])
	if !ok {
		message = computed
	}
	names := s.chain(selector.X, 0)
	slices.Sort(names)
	kind := fmt.Sprintf("%s | %s | %s", strings.ToLower(level[1]), message, strings.Join(slices.Compact(names), " "))
	s.kinds[strings.TrimSpace(kind)] = true
}

// isLog tells a logger, an entry or the package of both.
func (s *logScan) isLog(e ast.Expr) bool {
	if name, ok := s.object(e).(*types.PkgName); ok {
		return name.Imported().Path() == logPackage
	}
	name := s.typeName(e)
	return name == logPackage+".Entry" || name == logPackage+".Logger"
}

// maxSteps bounds how far variables are followed.
const maxSteps = 8

// chain gives the fields that an entry has been given in the function at hand.
func (s *logScan) chain(e ast.Expr, steps int) []string {
	if steps > maxSteps {
		return nil
	}
	if object := s.object(e); object != nil {
		var out []string
		for _, value := range s.values[object] {
			out = append(out, s.chain(value, steps+1)...)
		}
		return out
	}
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !s.isLog(selector.X) {
		return nil
	}
	out := s.chain(selector.X, steps+1)
	switch selector.Sel.Name {
	case "WithError":
		out = append(out, "error")
	case "WithField":
		out = append(out, s.keys(call.Args[0])...)
	case "WithFields":
		out = append(out, s.mapKeys(call.Args[0])...)
	}
	return out
}

// mapKeys gives the keys of a map of fields, be it a literal or a variable.
func (s *logScan) mapKeys(e ast.Expr) []string {
	if literal, ok := e.(*ast.CompositeLit); ok {
		return s.literalKeys(literal)
	}
	object := s.object(e)
	if object == nil {
		return []string{computed}
	}
	var out []string
	for _, value := range s.values[object] {
		if literal, ok := value.(*ast.CompositeLit); ok {
			out = append(out, s.literalKeys(literal)...)
		}
	}
	for _, key := range s.added[object] {
		out = append(out, s.keys(key)...)
	}
	return out
}

func (s *logScan) literalKeys(literal *ast.CompositeLit) []string {
	var out []string
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			out = append(out, s.keys(pair.Key)...)
		}
	}
	return out
}

// keys gives the texts that a key may be: a constant, or what its loop runs over.
func (s *logScan) keys(e ast.Expr) []string {
	if text, ok := s.text(e); ok {
		return []string{text}
	}
	if selector, ok := e.(*ast.SelectorExpr); ok {
		e = selector.X
	}
	literal := s.ranged[s.object(e)]
	if literal == nil {
		return []string{computed}
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

// TestLogLines pins the kinds of log lines that the code of shelfledged and shelfctl has, those that a run
// cannot bring about among them, and the label values that it sets on metrics. A line that moves changes nothing here; a new text or field does.
func TestLogLines(t *testing.T) {
	t.Parallel()
	s := &logScan{source: loadSource(t, "./cmd/shelfledged", "./cmd/shelfctl"), kinds: make(map[string]bool), fields: make(map[string]bool)}
	for _, file := range s.files {
		ast.Inspect(file, s.visit)
	}
	list := func(values []string) string { return strings.Join(values, "\n") + "\n" }
	pin(t, "log/kinds.txt", list(slices.Sorted(maps.Keys(s.kinds))))
	pin(t, "log/fields.txt", list(slices.Sorted(maps.Keys(s.fields))))
	pin(t, "log/events.txt", list(s.constantsLike("takeover")))
	pin(t, "log/reasons.txt", list(s.constantsLike("queue_full")))
	pin(t, "log/outcomes.txt", list(s.constantsLike("answered")))
	pin(t, "log/claims.txt", list(s.constantsLike("impossible")))
	pin(t, "metrics/label_values.txt", list(s.labelValues()))
}
