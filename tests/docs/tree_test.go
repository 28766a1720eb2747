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

// tree is what the repository defines.
type tree struct {
	// declared are the names of packages, constants, variables, types, fields and functions.
	declared map[string]bool
	// members are the declared names by the name of their package.
	members map[string]map[string]bool
	// texts are all string constants of Go code outside tests, and parts of struct tags.
	texts map[string]bool
	// allTexts are these constants and those of tests in one, for parts of texts.
	allTexts string
	// settings are the names of fields in JSON.
	settings map[string]bool
	// files are the names of Go files without their folders.
	files map[string]bool
	// flags are the programs' flags, with their dashes.
	flags map[string]bool
	// metrics are the names of metrics without their common beginning.
	metrics map[string]bool
	// spans are the values of constants that are durations, by name, and by package and name.
	spans map[string][]time.Duration
	// targets are the Makefile's targets and its variables.
	targets map[string]bool
	// samples are the settings' sample, the alerts and the dashboard.
	samples string
}

// skipped folders hold no code, or records that name what went long ago.
var skipped = map[string]bool{".git": true, "journal": true, "bin": true, "testdata": true}

func readTree(t *testing.T) *tree {
	t.Helper()
	all := &tree{
		declared: make(map[string]bool), members: make(map[string]map[string]bool), texts: make(map[string]bool),
		settings: make(map[string]bool), files: make(map[string]bool), flags: make(map[string]bool),
		metrics: make(map[string]bool), spans: make(map[string][]time.Duration), targets: make(map[string]bool),
	}
	var builder strings.Builder
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if skipped[entry.Name()] || path == filepath.Join(root, "tests", "docs") {
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
		all.files[entry.Name()] = true
		all.addFile(file, strings.HasSuffix(path, "_test.go"), &builder)
		return nil
	})
	require.NoError(t, err)
	all.allTexts = builder.String()
	all.readMakefile(t)
	for _, name := range []string{"shelfledged.sample.json", "alerts.yml", "grafana.json"} {
		content, err := os.ReadFile(filepath.Join(root, "conf", name))
		require.NoError(t, err)
		all.samples += string(content)
	}
	return all
}

var (
	targetForm   = regexp.MustCompile(`(?m)^([a-z]+):`)
	variableForm = regexp.MustCompile(`(?m)^([A-Z]+) *[?:]?=`)
)

func (all *tree) readMakefile(t *testing.T) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, "Makefile"))
	require.NoError(t, err)
	for _, form := range []*regexp.Regexp{targetForm, variableForm} {
		for _, match := range form.FindAllStringSubmatch(string(content), -1) {
			all.targets[match[1]] = true
		}
	}
}

// addFile takes in what one file declares and says.
func (all *tree) addFile(file *ast.File, test bool, texts *strings.Builder) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if all.members[name] == nil {
		all.members[name] = make(map[string]bool)
	}
	all.declared[name] = true
	declare := func(ident *ast.Ident) {
		all.declared[ident.Name] = true
		all.members[name][ident.Name] = true
	}
	prometheus := imports(file, "prometheus/client_golang/prometheus")
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
			all.addSpans(name, node)
		case *ast.Field:
			for _, ident := range node.Names {
				declare(ident)
			}
			all.addTag(node)
		case *ast.BasicLit:
			text, err := strconv.Unquote(node.Value)
			if node.Kind != token.STRING || err != nil {
				return true
			}
			texts.WriteString(text + "\n")
			if !test {
				all.texts[text] = true
			}
			if prometheus && !test {
				all.metrics[text] = true
			}
		}
		return true
	})
}

func imports(file *ast.File, suffix string) bool {
	for _, one := range file.Imports {
		if strings.HasSuffix(strings.Trim(one.Path.Value, `"`), suffix) {
			return true
		}
	}
	return false
}

// addTag takes in the names that a field has in JSON and MessagePack, and its flag.
func (all *tree) addTag(field *ast.Field) {
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
			all.texts[name] = true
			all.settings[name] = true
		}
	}
	for _, key := range []string{"help", "cmd"} {
		if _, ok := tag.Lookup(key); !ok {
			continue
		}
		for _, ident := range field.Names {
			all.texts[kebab(ident.Name)] = true
			all.flags["--"+kebab(ident.Name)] = true
		}
	}
	if short := tag.Get("short"); short != "" {
		all.flags["-"+short] = true
	}
	if name := tag.Get("name"); name != "" {
		all.flags["--"+name] = true
	}
}

var wordForm = regexp.MustCompile("[A-Z]+[a-z0-9]*")

// kebab writes a field's name as kong does, such as CheckSettings as check-settings.
func kebab(name string) string {
	return strings.ToLower(strings.Join(wordForm.FindAllString(name, -1), "-"))
}

// units are the spans that constants are built from.
var units = map[string]time.Duration{
	"Microsecond": time.Microsecond, "Millisecond": time.Millisecond, "Second": time.Second, "Minute": time.Minute, "Hour": time.Hour,
}

// addSpans evaluates constants that are durations.
func (all *tree) addSpans(pkg string, spec *ast.ValueSpec) {
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
			all.spans[name] = append(all.spans[name], time.Duration(span))
		}
	}
}

// evaluate returns the value of an expression of numbers and units of time.
func evaluate(expression ast.Expr) (constant.Value, bool) {
	switch node := expression.(type) {
	case *ast.BasicLit:
		if node.Kind != token.INT && node.Kind != token.FLOAT {
			return nil, false
		}
		return constant.MakeFromLiteral(node.Value, node.Kind, 0), true
	case *ast.SelectorExpr:
		unit, ok := units[node.Sel.Name]
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
