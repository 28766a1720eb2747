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

// listedPackage is what the go command tells of a package.
type listedPackage struct {
	ImportPath string
	Export     string
	Dir        string
	GoFiles    []string
	Module     *struct{ Main bool }
}

// source is the checked code of the module's packages that programs are built from.
type source struct {
	info  *types.Info
	files []*ast.File
	// values are the expressions that variables get, by variable.
	values map[types.Object][]ast.Expr
	// ranged are the literals that range variables run over.
	ranged map[types.Object]*ast.CompositeLit
	// added are the keys put into a map variable one by one.
	added map[types.Object][]ast.Expr
}

func loadSource(t *testing.T, programs ...string) *source {
	t.Helper()
	out, err := goTool(append([]string{"list", "-export", "-deps", "-json=ImportPath,Export,Dir,GoFiles,Module"}, programs...)...)
	require.NoError(t, err)
	exports := make(map[string]string)
	var own []listedPackage
	for decoder := json.NewDecoder(strings.NewReader(out)); ; {
		var one listedPackage
		err := decoder.Decode(&one)
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		exports[one.ImportPath] = one.Export
		if one.Module != nil && one.Module.Main {
			own = append(own, one)
		}
	}
	s := &source{
		info: &types.Info{
			Types: make(map[ast.Expr]types.TypeAndValue), Defs: make(map[*ast.Ident]types.Object), Uses: make(map[*ast.Ident]types.Object),
		},
		values: make(map[types.Object][]ast.Expr), ranged: make(map[types.Object]*ast.CompositeLit), added: make(map[types.Object][]ast.Expr),
	}
	s.check(t, own, exports)
	for _, file := range s.files {
		ast.Inspect(file, s.note)
	}
	return s
}

func (s *source) check(t *testing.T, own []listedPackage, exports map[string]string) {
	t.Helper()
	set := token.NewFileSet()
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	config := &types.Config{Importer: importer.ForCompiler(set, "gc", open)}
	for _, one := range own {
		var files []*ast.File
		for _, name := range one.GoFiles {
			file, err := parser.ParseFile(set, filepath.Join(one.Dir, name), nil, parser.SkipObjectResolution)
			require.NoError(t, err)
			files = append(files, file)
		}
		_, err := config.Check(one.ImportPath, set, files, s.info)
		require.NoError(t, err)
		s.files = append(s.files, files...)
	}
}

// note remembers what variables hold.
func (s *source) note(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.AssignStmt:
		for i, left := range node.Lhs {
			s.noteAssignment(left, node.Rhs, i)
		}
	case *ast.RangeStmt:
		literal, ok := ast.Unparen(node.X).(*ast.CompositeLit)
		if !ok {
			break
		}
		for _, variable := range []ast.Expr{node.Key, node.Value} {
			if object := s.object(variable); object != nil {
				s.ranged[object] = literal
			}
		}
	}
	return true
}

func (s *source) noteAssignment(left ast.Expr, right []ast.Expr, i int) {
	if index, ok := left.(*ast.IndexExpr); ok {
		if object := s.object(index.X); object != nil {
			s.added[object] = append(s.added[object], index.Index)
		}
		return
	}
	if object := s.object(left); object != nil && len(right) > i {
		s.values[object] = append(s.values[object], right[i])
	}
}

// object gives the variable that an expression names, or nil.
func (s *source) object(e ast.Expr) types.Object {
	identifier, ok := e.(*ast.Ident)
	if !ok {
		return nil
	}
	if object := s.info.Defs[identifier]; object != nil {
		return object
	}
	return s.info.Uses[identifier]
}

// text gives an expression's constant string.
func (s *source) text(e ast.Expr) (string, bool) {
	value := s.info.Types[e].Value
	if value == nil || value.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(value), true
}

// typeName gives package and name of an expression's type, without its pointer.
func (s *source) typeName(e ast.Expr) string {
	kind := s.info.TypeOf(e)
	if kind == nil {
		return ""
	}
	if pointer, ok := kind.(*types.Pointer); ok {
		kind = pointer.Elem()
	}
	return types.TypeString(kind, nil)
}

// constantsLike gives the used constants of each type that has one of this value.
func (s *source) constantsLike(value string) []string {
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
	all := make(map[string]bool)
	for _, values := range byType {
		if values[value] {
			maps.Copy(all, values)
		}
	}
	return slices.Sorted(maps.Keys(all))
}
