// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/shelfledge/shelfledge/tools/tracegen/gen"
)

type arguments struct {
	Scenario string `arg:"" help:"Scenario to draw."`
	Out      string `help:"Folder for NAME.fleet.json and NAME.trace.jsonl." default:"."`
	Seed     uint64 `help:"Seed of the random draws." default:"1"`
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("tracegen"), kong.Description("Draws traces for the replay tool."))
	ctx.FatalIfErrorf(run(args))
}

func run(args arguments) error {
	s, err := gen.Make(args.Scenario, args.Seed)
	if err != nil {
		return err
	}
	if err := writeFleet(filepath.Join(args.Out, args.Scenario+".fleet.json"), s, args); err != nil {
		return err
	}
	return writeTrace(filepath.Join(args.Out, args.Scenario+".trace.jsonl"), s)
}

func writeFleet(file string, s gen.Scenario, args arguments) error {
	body, err := json.MarshalIndent(s.Fleet, "", "  ")
	if err != nil {
		return err
	}
	text := fmt.Sprintf("// Made by: go run ./tools/tracegen %s --seed %d\n%s\n", args.Scenario, args.Seed, body)
	return os.WriteFile(file, []byte(text), 0o644)
}

func writeTrace(file string, s gen.Scenario) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(out)
	e := json.NewEncoder(w)
	for _, line := range s.Lines {
		if err := e.Encode(line); err != nil {
			_ = out.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
