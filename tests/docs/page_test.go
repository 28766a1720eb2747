// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// root is the top of the repository, as seen from this package.
const root = "../.."

// page is one Markdown file.
type page struct {
	// path is relative to root.
	path string
	// prose is the text without code blocks; code has the lines of the blocks.
	prose string
	code  []string
}

// mention is a name that a page gives in backticks, or a line of a code block.
type mention struct {
	page string
	text string
}

// readPages reads the pages at the top that describe the code, and all below docs.
func readPages(t *testing.T) []page {
	t.Helper()
	paths := []string{"README.md", "CONTRIBUTING.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		relative, err := filepath.Rel(root, path)
		paths = append(paths, relative)
		return err
	})
	require.NoError(t, err)
	pages := make([]page, 0, len(paths))
	for _, path := range paths {
		content, err := os.ReadFile(filepath.Join(root, path))
		require.NoError(t, err)
		pages = append(pages, parsePage(path, string(content)))
	}
	return pages
}

// parsePage parts a page's prose from its code blocks, fenced or indented by four spaces.
func parsePage(path, content string) page {
	parsed := page{path: path}
	var prose []string
	fenced := false
	for line := range strings.SplitSeq(content, "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			parsed.code = append(parsed.code, strings.TrimSpace(line))
		default:
			prose = append(prose, line)
		}
	}
	// A span in backticks may go on in the next line.
	parsed.prose = strings.Join(prose, "\n")
	return parsed
}

var (
	spanForm = regexp.MustCompile("`([^`]+)`")
	linkForm = regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)
	// sectionForm is a link to a heading of another page.
	sectionForm = regexp.MustCompile(`\]\(([^)#]+)#([^)]+)\)`)
	headingForm = regexp.MustCompile(`(?m)^#+ (.+)$`)
	signForm    = regexp.MustCompile(`[^a-z0-9 _-]`)
	// entryForm is a list in square brackets of journal ids, such as [7b2058df, ea90d98f].
	entryForm = regexp.MustCompile(`\[([0-9a-f]{8}(?:[,;] [0-9a-f]{8})*)[\],]`)
	// spanAfter and spanBefore are a constant beside its value, such as `upstreamDial`, 0.5 s, or `seed.Timeout`.
	spanAfter  = regexp.MustCompile("`([A-Za-z.]+)`, ([0-9.]+) (ms|s|min)\\b")
	spanBefore = regexp.MustCompile("([0-9.]+) (ms|s|min) \\(`([A-Za-z.]+)`\\)")
)

// mentions returns what a page names in backticks.
func (p page) mentions() []mention {
	var found []mention
	for _, match := range spanForm.FindAllStringSubmatch(p.prose, -1) {
		found = append(found, mention{page: p.path, text: strings.Join(strings.Fields(match[1]), " ")})
	}
	return found
}

// isRecord tells whether a page tells of one past day: it quotes that day's logs and may name what has gone since.
func (p page) isRecord() bool {
	return filepath.Dir(p.path) == filepath.Join("docs", "incidents")
}

// outlivesRecord tells whether a name must exist even where a record of a past day gives it: a test or a path.
func (m mention) outlivesRecord() bool {
	return strings.HasPrefix(m.text, "Test") || strings.Contains(m.text, "/")
}

// links returns the files that a page links to, relative to root.
func (p page) links() []string {
	var found []string
	for _, match := range linkForm.FindAllStringSubmatch(p.prose, -1) {
		if !strings.Contains(match[1], "://") {
			found = append(found, filepath.Join(filepath.Dir(p.path), match[1]))
		}
	}
	return found
}

// section is a heading of a page that another page links to.
type section struct {
	path   string
	anchor string
}

// sections returns the headings that a page links to.
func (p page) sections() []section {
	var found []section
	for _, match := range sectionForm.FindAllStringSubmatch(p.prose, -1) {
		if !strings.Contains(match[1], "://") {
			found = append(found, section{path: filepath.Join(filepath.Dir(p.path), match[1]), anchor: match[2]})
		}
	}
	return found
}

// anchors returns what links to a page's headings end with: lower case, blanks as hyphens, without other signs.
func anchors(content string) []string {
	var found []string
	for _, match := range headingForm.FindAllStringSubmatch(content, -1) {
		found = append(found, strings.ReplaceAll(signForm.ReplaceAllString(strings.ToLower(match[1]), ""), " ", "-"))
	}
	return found
}

// journalEntries returns the ids of the journal that a page names.
func (p page) journalEntries() []string {
	var found []string
	for _, match := range entryForm.FindAllStringSubmatch(p.prose, -1) {
		found = append(found, strings.FieldsFunc(match[1], func(r rune) bool { return strings.ContainsRune(",; ", r) })...)
	}
	return found
}

// statedSpan is a constant with the value that a page gives it.
type statedSpan struct {
	constant string
	value    time.Duration
}

// statedSpans returns the constants whose values a page states.
func (p page) statedSpans(t *testing.T) []statedSpan {
	t.Helper()
	if p.isRecord() {
		return nil
	}
	var found []statedSpan
	add := func(constant, number, unit string) {
		if unit == "min" {
			unit = "m"
		}
		value, err := time.ParseDuration(number + unit)
		require.NoError(t, err)
		found = append(found, statedSpan{constant: constant, value: value})
	}
	for _, match := range spanAfter.FindAllStringSubmatch(p.prose, -1) {
		add(match[1], match[2], match[3])
	}
	for _, match := range spanBefore.FindAllStringSubmatch(p.prose, -1) {
		add(match[3], match[1], match[2])
	}
	return found
}
