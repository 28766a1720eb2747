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

// forbiddenWords maps words of the users' platform and of earlier versions of the daemon, in lower case, to the project's term for
// the same thing.
var forbiddenWords = map[string]string{
	"worker": "endpoint", "workers": "endpoint",
	"server": "endpoint", "servers": "endpoint",
	"machine": "instance", "machines": "instance",
	"front": "instance", "fronts": "instance", "frontend": "instance", "frontends": "instance",
	"zone": "hall", "zones": "hall",
	"tenant": "customer", "tenants": "customer",
}

// forbiddenNames are names of the platform's wire protocol.
var forbiddenNames = []string{
	"X-Attempt-Id", "X-Server-Seal", "X-Not-Executed", "X-Expect-Instance", "X-Expect-Version", "X-Request-Urgency",
	"kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep",
}

// daemonForbiddenWords are the words that the daemon and its tool must not use either. The words for servers and front ends are allowed
// there, since the daemon has HTTP servers and front ends of its own.
var daemonForbiddenWords = map[string]bool{
	"worker": true, "workers": true, "machine": true, "machines": true, "zone": true, "zones": true, "tenant": true, "tenants": true,
}

// kind is the kind of source text in which a word occurs.
type kind int

const (
	identifier kind = iota
	comment
	text
)

// occurrence is an occurrence of a forbidden word, with the text that contains it.
type occurrence struct {
	kind     kind
	word     string
	text     string
	position token.Position
}

// allowedPhrases are pairs of words in which a forbidden word has its usual technical meaning, with that meaning.
var allowedPhrases = map[[2]string]string{
	{"state", "machine"}: "the technical term for states and transitions",
	{"server", "error"}:  "the HTTP term for a status of 500 and above",
	{"time", "zone"}:     "the time zone of a clock",
}

// packageWord is the folder of a package and a forbidden word that the package uses in another sense.
type packageWord struct{ folder, word string }

// allowedUses maps allowed uses of forbidden words in a package to the meaning of the word there.
var allowedUses = map[packageWord]string{
	{"routers/entry/gateway", "server"}:  "the instance's own HTTP servers",
	{"services/entry/process", "server"}: "the gateway's Server, which a process owns",

	{"models/daemon/catalog", "zone"}:   "a rule's time zone",
	{"modules/daemon/language", "zone"}: "a rule's time zone",
	{"services/daemon/command", "zone"}: "a rule's time zone",
	{"services/daemon/query", "zone"}:   "a rule's time zone",
}

func (f *occurrence) packageWord() packageWord {
	return packageWord{folder: strings.TrimPrefix(filepath.ToSlash(filepath.Dir(f.position.Filename)), root+"/"), word: f.word}
}

func TestEntryProgramHasNoForbiddenWords(t *testing.T) {
	checkFolders(t, "entry", packageFolders(t, "./cmd/shelfledge-entry"), func(occurrence) bool { return true })
	for _, folder := range packageFolders(t, "./cmd/shelfledge-entry") {
		for _, path := range sourceFiles(t, folder) {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			for _, name := range forbiddenNames {
				assert.False(t, strings.Contains(strings.ToLower(string(content)), strings.ToLower(name)), "%s names %q", path, name)
			}
		}
	}
}

// TestDaemonHasNoForbiddenWords checks identifiers and comments. It skips strings, since encoded names keep their form.
func TestDaemonHasNoForbiddenWords(t *testing.T) {
	checkFolders(t, "daemon", packageFolders(t, "./cmd/shelfledged", "./cmd/shelfctl"), func(found occurrence) bool {
		return daemonForbiddenWords[found.word] && found.kind != text
	})
}

// checkFolders fails for each occurrence of a forbidden word in the folders for which counts returns true and no exception exists. It
// also fails for exceptions of this part of the program that are not used.
func checkFolders(t *testing.T, part string, folders []string, counts func(occurrence) bool) {
	t.Helper()
	seen := 0
	used := make(map[packageWord]bool)
	for _, folder := range folders {
		for _, path := range sourceFiles(t, folder) {
			seen++
			for _, found := range findOccurrences(t, path) {
				if !counts(found) {
					continue
				}
				if _, allowed := allowedUses[found.packageWord()]; allowed {
					used[found.packageWord()] = true
					continue
				}
				assert.Fail(t, "forbidden word in the source", "%s: %q in %q: use %q", found.position, found.word, found.text, forbiddenWords[found.word])
			}
		}
	}
	assert.Greater(t, seen, 50, "number of checked files")
	for exempted, sense := range allowedUses {
		if strings.Contains(exempted.folder, "/"+part+"/") {
			assert.True(t, used[exempted], "exception %v (%s) is not used", exempted, sense)
		}
	}
}

// packageFolders returns the folders of the packages of this module that the programs consist of, except platform and those below cmd,
// which connect the programs to the platform.
func packageFolders(t *testing.T, programs ...string) []string {
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

// sourceFiles returns the Go files of a folder, without test files.
func sourceFiles(t *testing.T, folder string) []string {
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

// findOccurrences returns the forbidden words in a file's identifiers, comments and strings. It skips import paths and struct tags. An
// encoded name that a comment quotes counts as a string.
func findOccurrences(t *testing.T, path string) []occurrence {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	require.NoError(t, err)
	var found []occurrence
	look := func(kind kind, text string, at token.Pos) {
		for _, word := range forbiddenIn(text) {
			found = append(found, occurrence{kind: kind, word: word, text: text, position: files.Position(at)})
		}
	}
	for _, group := range file.Comments {
		for _, line := range group.List {
			look(comment, encodedNamePattern.ReplaceAllString(line.Text, ""), line.Pos())
			for _, name := range encodedNamePattern.FindAllString(line.Text, -1) {
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

// importedLibraries returns the names of a file's imports from outside this module, since this module does not choose the names
// that they export.
func importedLibraries(file *ast.File) map[string]bool {
	names := make(map[string]bool)
	for _, spec := range file.Imports {
		path := strings.Trim(spec.Path.Value, "\"")
		if strings.HasPrefix(path, module) {
			continue
		}
		name := path[strings.LastIndexByte(path, '/')+1:]
		if spec.Name != nil {
			name = spec.Name.Name
		}
		names[name] = true
	}
	return names
}

var (
	encodedNamePattern = regexp.MustCompile(`\b[a-z]+(?:_[a-z]+)+\b`)
	letterPattern      = regexp.MustCompile(`[A-Za-z]+`)
	// wordBoundaryPattern matches the start of a word in a name: a capital letter after a small one, or the last of several capital letters
	// before a small one.
	wordBoundaryPattern = regexp.MustCompile(`([a-z])([A-Z])|([A-Z])([A-Z][a-z])`)
)

// splitWords splits a text into words in lower case. It also splits names in camel case.
func splitWords(text string) []string {
	apart := wordBoundaryPattern.ReplaceAllString(text, "$1$3 $2$4")
	return letterPattern.FindAllString(strings.ToLower(apart), -1)
}

// forbiddenIn returns the forbidden words of a text, except those in allowed phrases.
func forbiddenIn(text string) []string {
	var found []string
	words := append(append([]string{""}, splitWords(text)...), "")
	for i, word := range words[:len(words)-1] {
		if _, foreign := forbiddenWords[word]; !foreign {
			continue
		}
		_, withFormer := allowedPhrases[[2]string{words[max(0, i-1)], word}]
		_, withNext := allowedPhrases[[2]string{word, words[i+1]}]
		if !withFormer && !withNext {
			found = append(found, word)
		}
	}
	return found
}

func TestForbiddenWordsAreFound(t *testing.T) {
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
		assert.Equal(t, words, forbiddenIn(text), text)
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
		assert.Equal(t, words, splitWords(text), text)
	}
}
