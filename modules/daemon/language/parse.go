// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package language

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

var textLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `'[^']*'|"[^"]*"`},
	{Name: "Time", Pattern: `\d{1,2}:\d{2}`},
	{Name: "Word", Pattern: `[\pL\d_*?][\pL\d_./@~*?-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>,;%()+]`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(textLexer),
	participle.Elide("Comment", "Space"),
	participle.CaseInsensitive("Word"),
	participle.Unquote("String"),
	participle.UseLookahead(lookahead),
)

// ErrSyntax reports a syntax error and its position.
type ErrSyntax struct {
	Line   int
	Column int
	Reason string
}

// Error returns the line, the column and the reason.
func (e ErrSyntax) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
}

// Point returns the line of the text that has the error, followed by a line with a mark under the column.
func (e ErrSyntax) Point(text string) string {
	lines := strings.Split(text, "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return ""
	}
	return lines[e.Line-1] + "\n" + strings.Repeat(" ", max(0, e.Column-1)) + "^"
}

// maxTextBytes bounds the text of one request, in bytes.
const maxTextBytes = 8 << 20

// lookahead is the number of tokens that the parser looks ahead to distinguish forms such as "set class" and "set live".
const lookahead = 3

// Parse parses the statements of a text.
func Parse(text string) ([]*Statement, error) {
	if len(text) > maxTextBytes {
		return nil, ErrSyntax{Line: 1, Column: 1, Reason: "the text is longer than 8 MB"}
	}
	script, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(err)
	}
	return script.Statements, nil
}

func syntaxError(err error) error {
	var p participle.Error
	if errors.As(err, &p) {
		return ErrSyntax{Line: p.Position().Line, Column: p.Position().Column, Reason: readableMessage(p.Message())}
	}
	return ErrSyntax{Line: 1, Column: 1, Reason: err.Error()}
}

// messageReplacer replaces the names of types and tokens in the parser's messages by the keywords or texts that are expected there.
var messageReplacer = strings.NewReplacer(
	"(expected Create)", "(expected adapter, version, service or rule)",
	"(expected Alter)", "(expected service or rule)",
	"(expected Retire)", "(expected adapter, version, service or rule)",
	"(expected Change)", "(expected show, explain, create, change, retire, restore, set, reset, roll, pin, unpin, preload, unpreload, drain, undrain or undo)",
	"(expected Explain)", "(expected request, adapter, slot or revision)",
	"(expected Drain)", "(expected endpoint or hall)",
	"(expected RuleAction", "(expected run in, priority or refuse",
	"<EOF>", "end of text",
	"<word> | <string>", "a name",
	"<word>", "a word or number",
	"<time>", "a time such as 08:30",
	"failed to capture: ", "",
)

// readableMessage returns a message of the parser in terms of the operators' language.
func readableMessage(message string) string {
	if strings.HasPrefix(message, "unexpected token") && !strings.Contains(message, "(expected") {
		message += " (expected Change)"
	}
	return messageReplacer.Replace(message)
}
