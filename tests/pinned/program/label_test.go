// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"go/ast"
	"go/types"
	"maps"
	"slices"
)

// labelValues returns the constant label values that the code sets on metrics, as a direct argument or through a variable, a
// loop or a function's result.
func (s *logCollector) labelValues() []string {
	returnedValues := s.returnedValues()
	values := make(map[string]bool)
	visit := func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		if selector, ok := call.Fun.(*ast.SelectorExpr); ok && selector.Sel.Name == "WithLabelValues" {
			for _, argument := range call.Args {
				s.addLabel(values, argument, returnedValues)
			}
		}
		return true
	}
	for _, file := range s.files {
		ast.Inspect(file, visit)
	}
	delete(values, computedText)
	return slices.Sorted(maps.Keys(values))
}

func (s *logCollector) addLabel(values map[string]bool, argument ast.Expr, returnedValues map[types.Object][]ast.Expr) {
	sources := []ast.Expr{argument}
	if object := s.object(argument); object != nil {
		sources = append(sources, s.values[object]...)
	}
	if call, ok := argument.(*ast.CallExpr); ok {
		sources = append(sources, returnedValues[s.object(call.Fun)]...)
	}
	for _, expression := range sources {
		for _, text := range s.possibleKeys(expression) {
			values[text] = true
		}
	}
}

// returnedValues returns the result expressions of each function.
func (s *checkedSource) returnedValues() map[types.Object][]ast.Expr {
	out := make(map[types.Object][]ast.Expr)
	for _, file := range s.files {
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Body == nil {
				continue
			}
			ast.Inspect(function.Body, func(node ast.Node) bool {
				if result, ok := node.(*ast.ReturnStmt); ok {
					object := s.info.Defs[function.Name]
					out[object] = append(out[object], result.Results...)
				}
				return true
			})
		}
	}
	return out
}
