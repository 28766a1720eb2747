// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

// exitBadInput is the exit code for an invalid fleet file, trace or policy.
const exitBadInput = 2

type arguments struct {
	Fleet  string `help:"Fleet file, JSON with comments." required:""`
	Trace  string `help:"Trace file, JSON lines ordered by at_ms." required:""`
	Policy string `help:"Policy: shelfledge, lru, affinity, bound, or all." default:"shelfledge"`
	Seed   int64  `help:"Seed; the present policies draw nothing at random." default:"1"`
	JSON   bool   `help:"Print one JSON object instead of a table." name:"json"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("replay"), kong.Description("Replays a trace against the decision functions."))
	os.Exit(run(args))
}

func run(args arguments) int {
	f, err := sim.ReadFleet(args.Fleet)
	if err != nil {
		return printError(err)
	}
	lines, err := sim.ReadTrace(args.Trace, f)
	if err != nil {
		return printError(err)
	}
	policies := []string{args.Policy}
	if args.Policy == "all" {
		policies = sim.Policies()
	}
	if !args.JSON {
		fmt.Println(sim.TableHeader())
	}
	for _, name := range policies {
		result, err := sim.Run(f, lines, name)
		if err != nil {
			return printError(err)
		}
		if err := printResult(result, args.JSON); err != nil {
			return printError(err)
		}
	}
	return 0
}

func printResult(r sim.Result, asJSON bool) error {
	if asJSON {
		return r.WriteJSON(os.Stdout)
	}
	_, err := fmt.Println(r.TableLine())
	return err
}

func printError(err error) int {
	fmt.Fprintln(os.Stderr, "replay:", err)
	return exitBadInput
}
