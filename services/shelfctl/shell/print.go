// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shell

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// The exit codes of shelfctl. docs/operators.md describes them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotInForce  = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnsettled   = 6
	ExitDenied      = 7
	ExitIncomplete  = 8
)

// ExitCode returns the exit code for a response, or for the error of a request that got no response.
func ExitCode(out operator.RunResponse, err error) int {
	if err != nil {
		if operatorclient.IsErrNoDaemon(err) {
			return ExitUnavailable
		}
		return ExitFailed
	}
	if out.Error != nil {
		return exitCodeForKind(out.Error.Kind)
	}
	code := ExitOK
	for _, a := range out.Answers {
		if a.Change != nil && !a.Change.DryRun && !a.Change.InForce() {
			return ExitNotInForce
		}
		if !(query.Result{Parts: a.Parts}).Complete() {
			code = ExitIncomplete
		}
	}
	return code
}

func exitCodeForKind(kind operator.ErrorKind) int {
	switch kind {
	case operator.KindConflict:
		return ExitConflict
	case operator.KindUnavailable:
		return ExitUnavailable
	case operator.KindUnsettled:
		return ExitUnsettled
	case operator.KindDenied, operator.KindTooMany:
		return ExitDenied
	case operator.KindSyntax, operator.KindSemantic:
		return ExitUsage
	}
	return ExitFailed
}

// PrintJSON writes a response as JSON.
func PrintJSON(w io.Writer, out operator.RunResponse) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

// Print writes a response as text.
func Print(w io.Writer, out operator.RunResponse) {
	var text strings.Builder
	printAnswers(&text, out)
	// A write error is ignored: the exit code reports the result of the statements even if the output cannot be written.
	_, _ = io.WriteString(w, text.String())
}

func printAnswers(w *strings.Builder, out operator.RunResponse) {
	for _, a := range out.Answers {
		switch {
		case a.Explain != nil:
			for _, line := range a.Explain.Lines {
				fmt.Fprintln(w, line)
			}
		case a.Change != nil:
			printChange(w, *a.Change)
		case a.Table != nil:
			printTable(w, *a.Table)
		}
		printParts(w, a.Parts)
	}
	if out.Error != nil {
		printError(w, *out.Error)
	}
}

func printError(w *strings.Builder, e operator.Error) {
	if e.Point != "" {
		fmt.Fprintf(w, "%s\nline %d, column %d: ", e.Point, e.Line, e.Column)
	}
	fmt.Fprintf(w, "%s: %s\n", strings.ReplaceAll(string(e.Kind), "_", " "), e.Message)
}

func printChange(w *strings.Builder, c command.Result) {
	verb := "accepted as revision"
	if c.DryRun {
		verb = "dry run: would become revision"
	}
	if c.Repeated {
		verb = "had been accepted before as revision"
	}
	fmt.Fprintf(w, "%s %d\n", verb, c.Revision)
	for _, line := range c.Changes {
		fmt.Fprintf(w, "  %s\n", line)
	}
	for _, h := range c.Halls {
		fmt.Fprintf(w, "  %-8s %s\n", h.Hall, hallStatus(h))
	}
}

func hallStatus(h command.HallResult) string {
	switch {
	case h.InForce:
		return fmt.Sprintf("in force after %d ms", h.After.Milliseconds())
	case h.Silent:
		return "not known: the hall cannot be heard"
	}
	return "not yet in force"
}

// printParts writes the age of the part of each hall in an answer, or which instances or halls did not answer.
func printParts(w *strings.Builder, parts []query.Part) {
	for _, p := range parts {
		switch {
		case p.Silent:
			fmt.Fprintf(w, "-- hall %s did not answer: its part is missing\n", p.Hall)
		case len(p.Missing) > 0:
			fmt.Fprintf(w, "-- hall %s: no answer from %s\n", p.Hall, strings.Join(p.Missing, ", "))
		default:
			fmt.Fprintf(w, "-- hall %s: %d ms old\n", p.Hall, p.Age.Round(time.Millisecond).Milliseconds())
		}
	}
}

// maxCellWidth limits the width of a table cell, in characters; longer values are truncated.
const maxCellWidth = 60

func printTable(w *strings.Builder, t table.Table) {
	widths := make([]int, len(t.Columns))
	for i, c := range t.Columns {
		widths[i] = utf8.RuneCountInString(c.Name)
		for _, row := range t.Rows {
			widths[i] = max(widths[i], min(maxCellWidth, utf8.RuneCountInString(row[i].String())))
		}
	}
	header := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		header[i] = c.Name
	}
	printRow(w, header, widths, t.Columns)
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = truncate(v.String())
		}
		printRow(w, cells, widths, t.Columns)
	}
	fmt.Fprintf(w, "(%d rows)\n", len(t.Rows))
}

func truncate(text string) string {
	if utf8.RuneCountInString(text) <= maxCellWidth {
		return text
	}
	return string([]rune(text)[:maxCellWidth-1]) + "…"
}

func printRow(w *strings.Builder, cells []string, widths []int, columns []table.Column) {
	var line strings.Builder
	for i, cell := range cells {
		pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if columns[i].Kind == table.Number {
			line.WriteString(pad + cell + "  ")
			continue
		}
		line.WriteString(cell + pad + "  ")
	}
	fmt.Fprintln(w, strings.TrimRight(line.String(), " "))
}
