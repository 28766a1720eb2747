// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command shelfledged is the daemon that runs on every entry instance and contains all roles.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/modules/daemon/log"
	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/modules/version"
	"github.com/shelfledge/shelfledge/services/daemon/process"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
)

type arguments struct {
	Settings      string `help:"Settings file, JSON with comments." default:"shelfledged.json" type:"path"`
	CheckSettings bool   `help:"Check the settings, report every problem and exit."`
	Version       bool   `help:"Print the version and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("shelfledged"), kong.Description("The daemon of shelfledge: serves many LoRA adapters on few slots."))
	os.Exit(run(args))
}

func run(args arguments) int {
	if args.Version {
		fmt.Println(version.String())
		return 0
	}
	settings, err := setting.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if args.CheckSettings {
		fmt.Println("the settings are valid")
		return 0
	}
	entry, err := log.New(log.Options{
		Level: settings.Log.Level, Format: settings.Log.Format, Output: os.Stderr,
		Fields: logrus.Fields{"instance": settings.Instance.ID, "hall": settings.Instance.Hall},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	return serve(settings, entry)
}

func serve(settings *setting.Settings, entry *logrus.Entry) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := process.Start(process.Options{Settings: settings, Log: entry})
	if err != nil {
		entry.WithError(err).Error("the daemon could not start")
		return exitFailed
	}
	<-signals
	d.Stop()
	return 0
}
