// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/logx"
)

type arguments struct {
	Bin      string `help:"Folder with the built programs." default:"bin" type:"path"`
	Part     string `help:"Part to show: daemons, entries, or all." enum:"all,daemons,entries" default:"all"`
	Requests int    `help:"Requests of each part." default:"600"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("demo"), kong.Description("Runs both programs under load and checks every answer."))
	// A library of the stand-ins logs the resource usage of the demo process, which would appear among the tables.
	logx.DisableStat()
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("every answer was complete, belonged to its request and came from the requested adapter and version")
}

// run runs the selected parts; the second part also runs if the first one fails.
func run(args arguments) error {
	var failed []error
	if args.Part != "entries" {
		failed = append(failed, runPart("daemons", args, runDaemons))
	}
	if args.Part != "daemons" {
		failed = append(failed, runPart("entries", args, runEntries))
	}
	return errors.Join(failed...)
}

// runPart runs one part in a temporary folder of its own, which is kept if the part fails.
func runPart(name string, args arguments, part func(args arguments, folder string) error) error {
	folder, err := os.MkdirTemp("", "shelfledge-demo-"+name+"-")
	if err != nil {
		return err
	}
	fmt.Printf("== %s\n", name)
	if err := part(args, folder); err != nil {
		return fmt.Errorf("%s: %w; settings and logs are in %s", name, err, folder)
	}
	return os.RemoveAll(folder)
}
