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

var words = []string{
	"show", "count", "where", "order by", "group by", "limit", "like", "and", "or", "not", "desc", "explain", "request", "adapter", "slot",
	"revision", "create", "change", "retire", "restore", "version", "service", "rule", "set", "live", "budget", "class", "reset", "roll", "back",
	"pin", "unpin", "preload", "unpreload", "drain", "undrain", "endpoint", "hall", "undo", "dry run", "if revision", "exit",
}

// Complete gives the ways to go on from a line's last word.
func Complete(line string) []string {
	at := strings.LastIndexByte(line, ' ') + 1
	head, last := line[:at], strings.ToLower(line[at:])
	var out []string
	for _, w := range append(query.Tables(), words...) {
		if strings.HasPrefix(w, last) {
			out = append(out, head+w)
		}
	}
	sort.Strings(out)
	return out
}

// Prompt reads statements from a terminal until its end; history is kept in the named file, if any.
func Prompt(ctx context.Context, client *operatorclient.Client, out io.Writer, history string) error {
	line := liner.NewLiner()
	// Closing gives the terminal its mode back; nothing can be done where that fails.
	defer func() { _ = line.Close() }()
	line.SetCtrlCAborts(true)
	line.SetCompleter(Complete)
	if f, err := os.Open(history); err == nil {
		// A prompt without its history is as good a prompt.
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
		answer(ctx, client, out, text)
	}
}

func answer(ctx context.Context, client *operatorclient.Client, out io.Writer, text string) {
	r, err := client.Run(ctx, text)
	if err != nil {
		// Nobody can be told where the terminal is gone.
		_, _ = fmt.Fprintln(out, err)
		return
	}
	Print(out, r)
}

// historyMode keeps the history its owner's alone, since commands may name what others need not know.
const historyMode = 0o600

// saveHistory keeps the history for the next prompt; one that cannot be written is given up.
func saveHistory(line *liner.State, history string) {
	if history == "" {
		return
	}
	f, err := os.OpenFile(history, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, historyMode)
	if err != nil {
		return
	}
	// As for a file that cannot be opened.
	_, _ = line.WriteHistory(f)
	_ = f.Close()
}
