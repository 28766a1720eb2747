// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Bin string `help:"Folder with the built programs." default:"bin" type:"path"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("entrydemo"), kong.Description("Shows shelfledge-entry on stand-ins of the users' platform."))
	if err := run(filepath.Join(args.Bin, "shelfledge-entry")); err != nil {
		fmt.Fprintln(os.Stderr, "entrydemo:", err)
		os.Exit(1)
	}
}
