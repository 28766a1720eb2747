// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package words_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	root   = "../.."
	module = "github.com/shelfledge/shelfledge/"
)

// foreignWords are words of the users' platform and of earlier forms of the daemon, in lower case, with the house's word for the
// same thing.
var foreignWords = map[string]string{
	"worker": "endpoint", "workers": "endpoint",
	"server": "endpoint", "servers": "endpoint",
	"machine": "instance", "machines": "instance",
	"front": "instance", "fronts": "instance", "frontend": "instance", "frontends": "instance",
	"zone": "hall", "zones": "hall",
	"tenant": "customer", "tenants": "customer",
}

// foreignNames are names on the platform's wire.
var foreignNames = []string{
	"X-Attempt-Id", "X-Server-Seal", "X-Not-Executed", "X-Expect-Instance", "X-Expect-Version", "X-Request-Urgency",
	"kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep",
}

// daemonWords are the foreign words that the daemon and its tool avoid too. Their own HTTP servers and front ends are not meant.
var daemonWords = map[string]bool{
	"worker": true, "workers": true, "machine": true, "machines": true, "zone": true, "zones": true, "tenant": true, "tenants": true,
}

// kind is where a word stands.
type kind int

const (
	identifier kind = iota
	comment
	text
)

// finding is a foreign word and the text that it stands in.
type finding struct {
	kind     kind
	word     string
	text     string
	position token.Position
}

// phrases are pairs of words of which the second or first one has its usual sense.
var phrases = map[[2]string]string{
	{"state", "machine"}: "the field's word for states and their changes",
	{"server", "error"}:  "HTTP's word for a status of 500 and above",
	{"time", "zone"}:     "a clock's",
}

// place is a package and a foreign word that it uses in another sense.
type place struct{ folder, word string }

// exceptions are such uses, with what the word means there.
var exceptions = map[place]string{
	{"routers/entry/gateway", "server"}:  "the instance's own HTTP servers",
	{"services/entry/process", "server"}: "the gateway's Server, which a process owns",

	{"models/daemon/catalog", "zone"}:   "a rule's time zone",
	{"modules/daemon/language", "zone"}: "a rule's time zone",
	{"services/daemon/command", "zone"}: "a rule's time zone",
	{"services/daemon/query", "zone"}:   "a rule's time zone",
}

func (f *finding) place() place {
	return place{folder: strings.TrimPrefix(filepath.ToSlash(filepath.Dir(f.position.Filename)), root+"/"), word: f.word}
}

func TestNoWordOfThePlatformStandsInTheEntryProgram(t *testing.T) {
	check(t, "entry", folders(t, "./cmd/shelfledge-entry"), func(finding) bool { return true })
	for _, folder := range folders(t, "./cmd/shelfledge-entry") {
		for _, path := range sources(t, folder) {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			for _, name := range foreignNames {
				assert.False(t, strings.Contains(strings.ToLower(string(content)), strings.ToLower(name)), "%s names %q", path, name)
			}
		}
	}
}

// TestNoFormerWordStandsInTheDaemon leaves out texts: encoded names keep their form.
func TestNoFormerWordStandsInTheDaemon(t *testing.T) {
	check(t, "daemon", folders(t, "./cmd/shelfledged", "./cmd/shelfctl"), func(found finding) bool {
		return daemonWords[found.word] && found.kind != text
	})
}

// check demands that folders hold no foreign word that counts, and that no exception is left over for a part of the program.
func check(t *testing.T, part string, folders []string, counts func(finding) bool) {
	t.Helper()
	seen := 0
	used := make(map[place]bool)
	for _, folder := range folders {
		for _, path := range sources(t, folder) {
			seen++
			for _, found := range findings(t, path) {
				if !counts(found) {
					continue
				}
				if _, allowed := exceptions[found.place()]; allowed {
					used[found.place()] = true
					continue
				}
				assert.Fail(t, "a word of the platform", "%s: %q in %q: say %q", found.position, found.word, found.text, foreignWords[found.word])
			}
		}
	}
	assert.Greater(t, seen, 50, "files that were looked at")
	for one, sense := range exceptions {
		if strings.Contains(one.folder, "/"+part+"/") {
			assert.True(t, used[one], "%v (%s): not used any more", one, sense)
		}
	}
}

// folders gives the folders of some programs' packages, except those that join them to the platform.
func folders(t *testing.T, programs ...string) []string {
	t.Helper()
	command := exec.Command("go", append([]string{"list", "-deps", "-f", "{{.ImportPath}}"}, programs...)...)
	command.Dir = root
	output, err := command.Output()
	require.NoError(t, err)
	var found []string
	for path := range strings.Lines(string(output)) {
		folder, own := strings.CutPrefix(strings.TrimSpace(path), module)
		if own && folder != "platform" && !strings.HasPrefix(folder, "cmd/") {
			found = append(found, filepath.Join(root, folder))
		}
	}
	return found
}

// sources gives the files of a folder, tests excepted.
func sources(t *testing.T, folder string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	require.NoError(t, err)
	var found []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			found = append(found, path)
		}
	}
	return found
}

// findings gives the foreign words of a file's identifiers, comments and texts. Paths of imports and the tags of
// encoded fields are not among them; an encoded name that a comment quotes is a text.
func findings(t *testing.T, path string) []finding {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	require.NoError(t, err)
	var found []finding
	look := func(kind kind, text string, at token.Pos) {
		for _, word := range foreignIn(text) {
			found = append(found, finding{kind: kind, word: word, text: text, position: files.Position(at)})
		}
	}
	for _, group := range file.Comments {
		for _, line := range group.List {
			look(comment, encodedName.ReplaceAllString(line.Text, ""), line.Pos())
			for _, name := range encodedName.FindAllString(line.Text, -1) {
				look(text, name, line.Pos())
			}
		}
	}
	libraries := importedLibraries(file)
	ast.Inspect(file, func(node ast.Node) bool {
		switch part := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.StructType:
			for _, field := range part.Fields.List {
				field.Tag = nil
			}
		case *ast.SelectorExpr:
			if name, ok := part.X.(*ast.Ident); ok && libraries[name.Name] {
				return false
			}
		case *ast.Ident:
			look(identifier, part.Name, part.Pos())
		case *ast.BasicLit:
			if part.Kind == token.STRING {
				look(text, part.Value, part.Pos())
			}
		}
		return true
	})
	return found
}

// importedLibraries gives the names of a file's imports from outside this module: what they export is named by others.
func importedLibraries(file *ast.File) map[string]bool {
	names := make(map[string]bool)
	for _, one := range file.Imports {
		path := strings.Trim(one.Path.Value, "\"")
		if strings.HasPrefix(path, module) {
			continue
		}
		name := path[strings.LastIndexByte(path, '/')+1:]
		if one.Name != nil {
			name = one.Name.Name
		}
		names[name] = true
	}
	return names
}

var (
	encodedName = regexp.MustCompile(`\b[a-z]+(?:_[a-z]+)+\b`)
	letters     = regexp.MustCompile(`[A-Za-z]+`)
	// capital finds where a word of a name begins: at a capital letter after a small one, and at the last of some capital letters.
	capital = regexp.MustCompile(`([a-z])([A-Z])|([A-Z])([A-Z][a-z])`)
)

// wordsOf splits a text into words in lower case, and names in camel case into theirs.
func wordsOf(text string) []string {
	apart := capital.ReplaceAllString(text, "$1$3 $2$4")
	return letters.FindAllString(strings.ToLower(apart), -1)
}

// foreignIn gives the foreign words of a text, except those of phrases.
func foreignIn(text string) []string {
	var found []string
	words := append(append([]string{""}, wordsOf(text)...), "")
	for i, word := range words[:len(words)-1] {
		if _, foreign := foreignWords[word]; !foreign {
			continue
		}
		_, withFormer := phrases[[2]string{words[max(0, i-1)], word}]
		_, withNext := phrases[[2]string{word, words[i+1]}]
		if !withFormer && !withNext {
			found = append(found, word)
		}
	}
	return found
}

func TestForeignWordsAreFound(t *testing.T) {
	for text, words := range map[string][]string{
		"// the worker's zone": {"worker", "zone"},
		"serverURL":            {"server"},
		"onFrontOrTenant":      {"front", "tenant"},
		"a state machine":      nil,
		"serverError":          nil,
		"errorServer":          {"server"},
		"machine":              {"machine"},
		"frontier, zoned":      nil,
	} {
		assert.Equal(t, words, foreignIn(text), text)
	}
}

func TestNamesAreSplitIntoWords(t *testing.T) {
	for text, words := range map[string][]string{
		"worker":                {"worker"},
		"HTTPServer":            {"http", "server"},
		"errServerClosed":       {"err", "server", "closed"},
		"WorkerID":              {"worker", "id"},
		"a worker's zone_name":  {"a", "worker", "s", "zone", "name"},
		"workersOfZone2Machine": {"workers", "of", "zone", "machine"},
		"frontier":              {"frontier"},
	} {
		assert.Equal(t, words, wordsOf(text), text)
	}
}
