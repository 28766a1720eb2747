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

// root is the path of the repository's root relative to this package.
const root = "../.."

// page is one Markdown file.
type page struct {
	// path is relative to root.
	path string
	// prose is the text without code blocks, and code has the lines of the code blocks.
	prose string
	code  []string
}

// mention is a name in backticks on a page.
type mention struct {
	page string
	text string
}

// readPages reads README.md, CONTRIBUTING.md and all pages below docs.
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

// parsePage separates a page's prose from its code blocks, which are fenced or indented by four spaces.
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
	// Text in backticks may continue on the next line.
	parsed.prose = strings.Join(prose, "\n")
	return parsed
}

var (
	backtickPattern = regexp.MustCompile("`([^`]+)`")
	linkPattern     = regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)
	// sectionLinkPattern matches a link to a heading of another page.
	sectionLinkPattern   = regexp.MustCompile(`\]\(([^)#]+)#([^)]+)\)`)
	headingPattern       = regexp.MustCompile(`(?m)^#+ (.+)$`)
	anchorRemovedPattern = regexp.MustCompile(`[^a-z0-9 _-]`)
	// journalListPattern matches a list of journal ids in square brackets, such as [7b2058df, ea90d98f].
	journalListPattern = regexp.MustCompile(`\[([0-9a-f]{8}(?:[,;] [0-9a-f]{8})*)[\],]`)
	// durationAfterPattern and durationBeforePattern match a constant next to its value, such as "`upstreamDial`, 0.5 s" and
	// "0.5 s (`upstreamDial`)". The constant may be qualified, such as `seed.Timeout`.
	durationAfterPattern  = regexp.MustCompile("`([A-Za-z.]+)`, ([0-9.]+) (ms|s|min)\\b")
	durationBeforePattern = regexp.MustCompile("([0-9.]+) (ms|s|min) \\(`([A-Za-z.]+)`\\)")
)

// mentions returns the names in backticks of a page.
func (p page) mentions() []mention {
	var found []mention
	for _, match := range backtickPattern.FindAllStringSubmatch(p.prose, -1) {
		found = append(found, mention{page: p.path, text: strings.Join(strings.Fields(match[1]), " ")})
	}
	return found
}

// isIncident reports whether a page describes an incident. Such a page quotes logs of its day and may refer to names that have
// been removed since.
func (p page) isIncident() bool {
	return filepath.Dir(p.path) == filepath.Join("docs", "incidents")
}

// mustExistInIncidents reports whether a name must exist even if it is on an incident page: the name of a test or a path.
func (m mention) mustExistInIncidents() bool {
	return strings.HasPrefix(m.text, "Test") || strings.Contains(m.text, "/")
}

// links returns the files that a page links to, relative to root.
func (p page) links() []string {
	var found []string
	for _, match := range linkPattern.FindAllStringSubmatch(p.prose, -1) {
		if !strings.Contains(match[1], "://") {
			found = append(found, filepath.Join(filepath.Dir(p.path), match[1]))
		}
	}
	return found
}

// section is the target of a link to a heading: the path of the page and the anchor of the heading.
type section struct {
	path   string
	anchor string
}

// linkedSections returns the headings that a page links to.
func (p page) linkedSections() []section {
	var found []section
	for _, match := range sectionLinkPattern.FindAllStringSubmatch(p.prose, -1) {
		if !strings.Contains(match[1], "://") {
			found = append(found, section{path: filepath.Join(filepath.Dir(p.path), match[1]), anchor: match[2]})
		}
	}
	return found
}

// anchors returns the link anchors of a page's headings: in lower case, with spaces replaced by hyphens and other punctuation
// removed.
func anchors(content string) []string {
	var found []string
	for _, match := range headingPattern.FindAllStringSubmatch(content, -1) {
		found = append(found, strings.ReplaceAll(anchorRemovedPattern.ReplaceAllString(strings.ToLower(match[1]), ""), " ", "-"))
	}
	return found
}

// journalEntries returns the ids of journal entries that a page refers to.
func (p page) journalEntries() []string {
	var found []string
	for _, match := range journalListPattern.FindAllStringSubmatch(p.prose, -1) {
		found = append(found, strings.FieldsFunc(match[1], func(r rune) bool { return strings.ContainsRune(",; ", r) })...)
	}
	return found
}

// statedDuration is a constant with the value that a page states for it.
type statedDuration struct {
	constant string
	value    time.Duration
}

// statedDurations returns the constants whose values a page states. It skips incident pages.
func (p page) statedDurations(t *testing.T) []statedDuration {
	t.Helper()
	if p.isIncident() {
		return nil
	}
	var found []statedDuration
	add := func(constant, number, unit string) {
		if unit == "min" {
			unit = "m"
		}
		value, err := time.ParseDuration(number + unit)
		require.NoError(t, err)
		found = append(found, statedDuration{constant: constant, value: value})
	}
	for _, match := range durationAfterPattern.FindAllStringSubmatch(p.prose, -1) {
		add(match[1], match[2], match[3])
	}
	for _, match := range durationBeforePattern.FindAllStringSubmatch(p.prose, -1) {
		add(match[3], match[1], match[2])
	}
	return found
}
