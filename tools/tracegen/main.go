// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Scenario string `arg:"" help:"Scenario to draw: dakar, plovdiv, storm, quiet, flood, or large (200,000 requests)." enum:"dakar,plovdiv,storm,quiet,flood,large"`
	Out      string `help:"Folder for NAME.fleet.json and NAME.trace.jsonl." default:"."`
	Seed     uint64 `help:"Seed of the random draws." default:"1"`
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("tracegen"), kong.Description("Draws traces for the replay tool."))
	ctx.FatalIfErrorf(run(args))
}

// run writes the fleet and the trace of a scenario.
func run(args arguments) error {
	b := newBuilder(args.Seed)
	fleet := scenarios[args.Scenario](b)
	body, err := json.MarshalIndent(fleet, "", "  ")
	if err != nil {
		return err
	}
	text := fmt.Sprintf("// Made by: go run ./tools/tracegen %s --seed %d\n%s\n", args.Scenario, args.Seed, body)
	if err := os.WriteFile(filepath.Join(args.Out, args.Scenario+".fleet.json"), []byte(text), 0o644); err != nil {
		return err
	}
	var trace bytes.Buffer
	lines := json.NewEncoder(&trace)
	for _, line := range b.sorted() {
		if err := lines.Encode(line); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(args.Out, args.Scenario+".trace.jsonl"), trace.Bytes(), 0o644)
}
