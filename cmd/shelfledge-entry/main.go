// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command shelfledge-entry serves callers on one instance of the users' platform. Together with its peers it plans which adapters are
// loaded on which endpoints.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/modules/version"
	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/services/entry/process"
)

// Exit codes other than 0; operators' scripts depend on them.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type arguments struct {
	Settings      string `help:"Settings file of the platform; by default the one that the environment names." type:"path"`
	CheckSettings bool   `help:"Check the settings, report every problem and exit."`
	LogLevel      string `help:"Least level of log lines: error, warn, info or debug." default:"info" enum:"error,warn,info,debug"`
	MetricsPort   uint16 `help:"Port on this machine's address that serves figures as text; 0 serves none." default:"0"`
	Version       bool   `help:"Print the version and exit."`
}

func main() {
	// Signals are received from the start: before that, each of them ends the process, including SIGHUP.
	signals := process.NotifySignals()
	var args arguments
	kong.Parse(&args, kong.Name("shelfledge-entry"), kong.Description("Serves callers and plans adapters on one machine of the users' platform."))
	os.Exit(run(args, signals))
}

func run(args arguments, signals process.Signals) int {
	if args.Version {
		fmt.Println(version.String())
		return 0
	}
	path := args.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if args.CheckSettings {
		fmt.Println("the settings are valid")
		return 0
	}
	level, err := logrus.ParseLevel(args.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if err := process.Run(settings.Process(level, args.MetricsPort), signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
