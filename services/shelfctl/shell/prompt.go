// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/peterh/liner"

	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// keywords are the words that the prompt completes, besides the names of tables.
var keywords = []string{
	"show", "count", "where", "order by", "group by", "limit", "like", "and", "or", "not", "desc", "explain", "request", "adapter", "slot",
	"revision", "create", "change", "retire", "restore", "version", "service", "rule", "set", "live", "budget", "class", "reset", "roll", "back",
	"pin", "unpin", "preload", "unpreload", "drain", "undrain", "endpoint", "hall", "undo", "dry run", "if revision", "exit",
}

// Complete returns the possible completions of the last word of a line, each with the rest of the line before it.
func Complete(line string) []string {
	start := strings.LastIndexByte(line, ' ') + 1
	head, last := line[:start], strings.ToLower(line[start:])
	var out []string
	for _, w := range append(query.Tables(), keywords...) {
		if strings.HasPrefix(w, last) {
			out = append(out, head+w)
		}
	}
	sort.Strings(out)
	return out
}

// Prompt reads statements from the terminal and executes them until the input ends or the user exits. If history is not empty, it is
// the path of the file that keeps the history.
func Prompt(ctx context.Context, client *operatorclient.Client, out io.Writer, history string) error {
	line := liner.NewLiner()
	// Close restores the mode of the terminal. Its error is ignored, since no recovery is possible.
	defer func() { _ = line.Close() }()
	line.SetCtrlCAborts(true)
	line.SetCompleter(Complete)
	if f, err := os.Open(history); err == nil {
		// The errors are ignored: the prompt also works without the history.
		_, _ = line.ReadHistory(f)
		_ = f.Close()
	}
	defer saveHistory(line, history)
	for {
		text, err := line.Prompt("shelfledge> ")
		if errors.Is(err, io.EOF) || errors.Is(err, liner.ErrPromptAborted) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("prompt: %w", err)
		}
		text = strings.TrimSpace(text)
		switch text {
		case "":
			continue
		case "exit", "quit":
			return nil
		}
		line.AppendHistory(text)
		runAndPrint(ctx, client, out, text)
	}
}

func runAndPrint(ctx context.Context, client *operatorclient.Client, out io.Writer, text string) {
	r, err := client.Run(ctx, text)
	if err != nil {
		// A write error is ignored, since it cannot be reported without the terminal.
		_, _ = fmt.Fprintln(out, err)
		return
	}
	Print(out, r)
}

// historyFileMode lets only the owner access the history, since statements may contain confidential names.
const historyFileMode = 0o600

// saveHistory writes the history to the file. If the file cannot be written, the history is lost without an error.
func saveHistory(line *liner.State, history string) {
	if history == "" {
		return
	}
	f, err := os.OpenFile(history, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, historyFileMode)
	if err != nil {
		return
	}
	// Errors are ignored, as for a file that cannot be opened.
	_, _ = line.WriteHistory(f)
	_ = f.Close()
}
