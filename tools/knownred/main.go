// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/tools/knownred/verdict"
)

// options are the arguments of the command.
type options struct {
	List   string `help:"The list of known failures." default:"KNOWN-RED.txt" type:"path"`
	Status int    `help:"The exit status of go test."`
	Part   bool   `help:"The run repeats a part of the tests: listed ones may fail in it and need not."`
	Events string `arg:"" help:"The file with the events of go test -json." type:"existingfile"`
}

func main() {
	var arguments options
	kong.Parse(&arguments, kong.Description("Checks a test run against the list of known failures."))
	accepted, err := judge(arguments)
	if err != nil {
		logrus.WithError(err).Error("cannot check the test run against the known failures")
	}
	if !accepted {
		os.Exit(1)
	}
}

func judge(arguments options) (bool, error) {
	content, err := os.ReadFile(arguments.List)
	if err != nil {
		return false, err
	}
	entries, err := verdict.ParseList(string(content))
	if err != nil {
		return false, err
	}
	events, err := os.Open(arguments.Events)
	if err != nil {
		return false, err
	}
	defer func() {
		// The file was only read, so an error of Close loses no data.
		_ = events.Close()
	}()
	run, err := verdict.ReadRun(events)
	if err != nil {
		return false, err
	}
	if arguments.Part {
		entries = run.Failed(entries)
	}
	result := run.Judge(entries, arguments.Status)
	return len(result.Problems) == 0, result.Write(os.Stdout)
}
