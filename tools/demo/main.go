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
	kong.Parse(&args, kong.Name("demo"), kong.Description("Shows the main job of both programs with every answer checked."))
	// A library of the stand-ins would print the demo's own use of the machine among its tables.
	logx.DisableStat()
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("every answer was whole, its own, and from the adapter and version named")
}

// run shows the parts asked for, also the second one if the first one fails.
func run(args arguments) error {
	var failed []error
	if args.Part != "entries" {
		failed = append(failed, show("daemons", args, showDaemons))
	}
	if args.Part != "daemons" {
		failed = append(failed, show("entries", args, showEntries))
	}
	return errors.Join(failed...)
}

// show runs one part in a folder of its own, which is kept if the part fails.
func show(name string, args arguments, part func(args arguments, folder string) error) error {
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
