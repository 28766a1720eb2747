// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"go/ast"
	"go/types"
	"maps"
	"slices"
)

// labelValues gives the constant label values that the code sets on metrics: as they stand in a call, in a
// variable, in a loop, or in what a function returns.
func (s *logScan) labelValues() []string {
	returned := s.returned()
	values := make(map[string]bool)
	visit := func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		if selector, ok := call.Fun.(*ast.SelectorExpr); ok && selector.Sel.Name == "WithLabelValues" {
			for _, argument := range call.Args {
				s.addLabel(values, argument, returned)
			}
		}
		return true
	}
	for _, file := range s.files {
		ast.Inspect(file, visit)
	}
	delete(values, computed)
	return slices.Sorted(maps.Keys(values))
}

func (s *logScan) addLabel(values map[string]bool, argument ast.Expr, returned map[types.Object][]ast.Expr) {
	sources := []ast.Expr{argument}
	if object := s.object(argument); object != nil {
		sources = append(sources, s.values[object]...)
	}
	if call, ok := argument.(*ast.CallExpr); ok {
		sources = append(sources, returned[s.object(call.Fun)]...)
	}
	for _, one := range sources {
		for _, text := range s.keys(one) {
			values[text] = true
		}
	}
}

// returned gives what each function returns.
func (s *source) returned() map[types.Object][]ast.Expr {
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
