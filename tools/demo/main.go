// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Bin      string `help:"Folder of the programs." default:"bin"`
	Requests int    `help:"Requests in all." default:"600"`
	Adapters int    `help:"Adapters in all." default:"120"`
	Parallel int    `help:"Requests at once." default:"80"`
	Verbose  bool   `help:"Show the daemons' logs."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("demo"), kong.Description("Shows the main job with every answer checked."))
	os.Exit(run(args))
}

func run(args arguments) int {
	d := &demo{arguments: args}
	defer d.close()
	if err := d.play(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	if d.judge() {
		fmt.Println("every answer was whole, its own, and from the version named")
		return 0
	}
	fmt.Println("the demo FAILED")
	return 1
}
