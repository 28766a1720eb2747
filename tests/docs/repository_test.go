// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

import (
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// repository has the names and strings that the repository defines.
type repository struct {
	// declared has the names of packages, constants, variables, types, fields and functions.
	declared map[string]bool
	// members has the declared names by the name of their package.
	members map[string]map[string]bool
	// literals has all string literals of Go code outside tests, and names from struct tags.
	literals map[string]bool
	// joinedStrings is the concatenation of all string literals, including those of tests, to find parts of them.
	joinedStrings string
	// settings has the encoded names of fields, from their json, msgpack and env tags.
	settings map[string]bool
	// files has the names of Go files without their folders.
	files map[string]bool
	// flags has the programs' flags, with their dashes.
	flags map[string]bool
	// metrics has the names of metrics without their common prefix.
	metrics map[string]bool
	// durations has the values of constants and variables that are durations, by name, and by package and name.
	durations map[string][]time.Duration
	// targets has the Makefile's targets and variables.
	targets map[string]bool
	// configSamples is the content of the sample settings, the alerts and the dashboard.
	configSamples string
}

// skippedFolders has the folders that have no code, or records that refer to removed names.
var skippedFolders = map[string]bool{".git": true, "journal": true, "bin": true, "testdata": true}

func readRepository(t *testing.T) *repository {
	t.Helper()
	repo := &repository{
		declared: make(map[string]bool), members: make(map[string]map[string]bool), literals: make(map[string]bool),
		settings: make(map[string]bool), files: make(map[string]bool), flags: make(map[string]bool),
		metrics: make(map[string]bool), durations: make(map[string][]time.Duration), targets: make(map[string]bool),
	}
	var builder strings.Builder
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if skippedFolders[entry.Name()] || path == filepath.Join(root, "tests", "docs") {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		repo.files[entry.Name()] = true
		repo.addFile(file, strings.HasSuffix(path, "_test.go"), &builder)
		return nil
	})
	require.NoError(t, err)
	repo.joinedStrings = builder.String()
	repo.readMakefile(t)
	for _, name := range []string{"shelfledged.sample.json", "alerts.yml", "grafana.json"} {
		content, err := os.ReadFile(filepath.Join(root, "conf", name))
		require.NoError(t, err)
		repo.configSamples += string(content)
	}
	return repo
}

var (
	targetPattern   = regexp.MustCompile(`(?m)^([a-z]+):`)
	variablePattern = regexp.MustCompile(`(?m)^([A-Z]+) *[?:]?=`)
)

func (repo *repository) readMakefile(t *testing.T) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, "Makefile"))
	require.NoError(t, err)
	for _, form := range []*regexp.Regexp{targetPattern, variablePattern} {
		for _, match := range form.FindAllStringSubmatch(string(content), -1) {
			repo.targets[match[1]] = true
		}
	}
}

// addFile adds the declared names, string literals and durations of a file.
func (repo *repository) addFile(file *ast.File, test bool, literals *strings.Builder) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if repo.members[name] == nil {
		repo.members[name] = make(map[string]bool)
	}
	repo.declared[name] = true
	declare := func(ident *ast.Ident) {
		repo.declared[ident.Name] = true
		repo.members[name][ident.Name] = true
	}
	prometheus := importsSuffix(file, "prometheus/client_golang/prometheus")
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			declare(node.Name)
		case *ast.TypeSpec:
			declare(node.Name)
		case *ast.ValueSpec:
			for _, ident := range node.Names {
				declare(ident)
			}
			repo.addDurations(name, node)
		case *ast.Field:
			for _, ident := range node.Names {
				declare(ident)
			}
			repo.addTag(node)
		case *ast.BasicLit:
			text, err := strconv.Unquote(node.Value)
			if node.Kind != token.STRING || err != nil {
				return true
			}
			literals.WriteString(text + "\n")
			if !test {
				repo.literals[text] = true
			}
			if prometheus && !test {
				repo.metrics[text] = true
			}
		}
		return true
	})
}

func importsSuffix(file *ast.File, suffix string) bool {
	for _, spec := range file.Imports {
		if strings.HasSuffix(strings.Trim(spec.Path.Value, `"`), suffix) {
			return true
		}
	}
	return false
}

// addTag adds the names of a field in JSON, MessagePack and the environment, and its flag.
func (repo *repository) addTag(field *ast.Field) {
	if field.Tag == nil {
		return
	}
	text, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return
	}
	tag := reflect.StructTag(text)
	for _, key := range []string{"json", "msgpack", "env"} {
		name, _, _ := strings.Cut(tag.Get(key), ",")
		if name != "" && name != "-" {
			repo.literals[name] = true
			repo.settings[name] = true
		}
	}
	for _, key := range []string{"help", "cmd"} {
		if _, ok := tag.Lookup(key); !ok {
			continue
		}
		for _, ident := range field.Names {
			repo.literals[kebabCase(ident.Name)] = true
			repo.flags["--"+kebabCase(ident.Name)] = true
		}
	}
	if short := tag.Get("short"); short != "" {
		repo.flags["-"+short] = true
	}
	if name := tag.Get("name"); name != "" {
		repo.flags["--"+name] = true
	}
}

var fieldWordPattern = regexp.MustCompile("[A-Z]+[a-z0-9]*")

// kebabCase converts a field's name to kebab case as kong does, such as CheckSettings to check-settings.
func kebabCase(name string) string {
	return strings.ToLower(strings.Join(fieldWordPattern.FindAllString(name, -1), "-"))
}

// durationUnits has the units of time that durations are built from.
var durationUnits = map[string]time.Duration{
	"Microsecond": time.Microsecond, "Millisecond": time.Millisecond, "Second": time.Second, "Minute": time.Minute, "Hour": time.Hour,
}

// addDurations adds the values of constants and variables that are durations of at least a microsecond.
func (repo *repository) addDurations(pkg string, spec *ast.ValueSpec) {
	for i, ident := range spec.Names {
		if i >= len(spec.Values) {
			return
		}
		value, ok := evaluate(spec.Values[i])
		if !ok {
			continue
		}
		span, exact := constant.Int64Val(constant.ToInt(value))
		if !exact || span < int64(time.Microsecond) {
			continue
		}
		for _, name := range []string{ident.Name, pkg + "." + ident.Name} {
			repo.durations[name] = append(repo.durations[name], time.Duration(span))
		}
	}
}

// evaluate returns the value of an expression that consists of numbers and units of time, and whether it is one.
func evaluate(expression ast.Expr) (constant.Value, bool) {
	switch node := expression.(type) {
	case *ast.BasicLit:
		if node.Kind != token.INT && node.Kind != token.FLOAT {
			return nil, false
		}
		return constant.MakeFromLiteral(node.Value, node.Kind, 0), true
	case *ast.SelectorExpr:
		unit, ok := durationUnits[node.Sel.Name]
		return constant.MakeInt64(int64(unit)), ok
	case *ast.BinaryExpr:
		left, ok := evaluate(node.X)
		if !ok {
			return nil, false
		}
		right, ok := evaluate(node.Y)
		if !ok || (node.Op != token.MUL && node.Op != token.ADD && node.Op != token.SUB) {
			return nil, false
		}
		return constant.BinaryOp(left, node.Op, right), true
	case *ast.ParenExpr:
		return evaluate(node.X)
	default:
		return nil, false
	}
}
