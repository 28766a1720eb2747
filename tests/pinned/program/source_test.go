// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/constant"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// goListPackage has the fields of a package in the output of go list.
type goListPackage struct {
	ImportPath string
	Export     string
	Dir        string
	GoFiles    []string
	Module     *struct{ Main bool }
}

// checkedSource is the type-checked code of the module's packages that some programs are built from.
type checkedSource struct {
	info  *types.Info
	files []*ast.File
	// values has the expressions that are assigned to each variable.
	values map[types.Object][]ast.Expr
	// rangedLiterals has the composite literal that each range variable iterates over.
	rangedLiterals map[types.Object]*ast.CompositeLit
	// addedKeys has the keys that index assignments add to each map variable.
	addedKeys map[types.Object][]ast.Expr
}

func loadSource(t *testing.T, programs ...string) *checkedSource {
	t.Helper()
	out, err := runGo(append([]string{"list", "-export", "-deps", "-json=ImportPath,Export,Dir,GoFiles,Module"}, programs...)...)
	require.NoError(t, err)
	exports := make(map[string]string)
	var own []goListPackage
	for decoder := json.NewDecoder(strings.NewReader(out)); ; {
		var pkg goListPackage
		err := decoder.Decode(&pkg)
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		exports[pkg.ImportPath] = pkg.Export
		if pkg.Module != nil && pkg.Module.Main {
			own = append(own, pkg)
		}
	}
	s := &checkedSource{
		info: &types.Info{
			Types: make(map[ast.Expr]types.TypeAndValue), Defs: make(map[*ast.Ident]types.Object), Uses: make(map[*ast.Ident]types.Object),
		},
		values: make(map[types.Object][]ast.Expr), rangedLiterals: make(map[types.Object]*ast.CompositeLit), addedKeys: make(map[types.Object][]ast.Expr),
	}
	s.typeCheck(t, own, exports)
	for _, file := range s.files {
		ast.Inspect(file, s.recordVariables)
	}
	return s
}

func (s *checkedSource) typeCheck(t *testing.T, own []goListPackage, exports map[string]string) {
	t.Helper()
	set := token.NewFileSet()
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	config := &types.Config{Importer: importer.ForCompiler(set, "gc", open)}
	for _, pkg := range own {
		var files []*ast.File
		for _, name := range pkg.GoFiles {
			file, err := parser.ParseFile(set, filepath.Join(pkg.Dir, name), nil, parser.SkipObjectResolution)
			require.NoError(t, err)
			files = append(files, file)
		}
		_, err := config.Check(pkg.ImportPath, set, files, s.info)
		require.NoError(t, err)
		s.files = append(s.files, files...)
	}
}

// recordVariables records the assignments and range loops of a node.
func (s *checkedSource) recordVariables(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.AssignStmt:
		for i, left := range node.Lhs {
			s.recordAssignment(left, node.Rhs, i)
		}
	case *ast.RangeStmt:
		literal, ok := ast.Unparen(node.X).(*ast.CompositeLit)
		if !ok {
			break
		}
		for _, variable := range []ast.Expr{node.Key, node.Value} {
			if object := s.object(variable); object != nil {
				s.rangedLiterals[object] = literal
			}
		}
	}
	return true
}

func (s *checkedSource) recordAssignment(left ast.Expr, right []ast.Expr, i int) {
	if index, ok := left.(*ast.IndexExpr); ok {
		if object := s.object(index.X); object != nil {
			s.addedKeys[object] = append(s.addedKeys[object], index.Index)
		}
		return
	}
	if object := s.object(left); object != nil && len(right) > i {
		s.values[object] = append(s.values[object], right[i])
	}
}

// object returns the object that an identifier refers to, or nil for other expressions.
func (s *checkedSource) object(e ast.Expr) types.Object {
	identifier, ok := e.(*ast.Ident)
	if !ok {
		return nil
	}
	if object := s.info.Defs[identifier]; object != nil {
		return object
	}
	return s.info.Uses[identifier]
}

// text returns the string value of a constant expression.
func (s *checkedSource) text(e ast.Expr) (string, bool) {
	value := s.info.Types[e].Value
	if value == nil || value.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(value), true
}

// typeName returns the qualified name of an expression's type. For a pointer, it returns the name of the element type.
func (s *checkedSource) typeName(e ast.Expr) string {
	kind := s.info.TypeOf(e)
	if kind == nil {
		return ""
	}
	if pointer, ok := kind.(*types.Pointer); ok {
		kind = pointer.Elem()
	}
	return types.TypeString(kind, nil)
}

// constantsOfTypesWith returns the values of all used string constants whose type has a used constant with the given value.
func (s *checkedSource) constantsOfTypesWith(value string) []string {
	byType := make(map[string]map[string]bool)
	for _, object := range s.info.Uses {
		found, ok := object.(*types.Const)
		if !ok || found.Val().Kind() != constant.String {
			continue
		}
		named, ok := found.Type().(*types.Named)
		if !ok {
			continue
		}
		name := named.String()
		if byType[name] == nil {
			byType[name] = make(map[string]bool)
		}
		byType[name][constant.StringVal(found.Val())] = true
	}
	matching := make(map[string]bool)
	for _, values := range byType {
		if values[value] {
			maps.Copy(matching, values)
		}
	}
	return slices.Sorted(maps.Keys(matching))
}
