// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/shelfledge/shelfledge/tools/soak/outside"
)

// Exit codes of the program other than 0.
const (
	exitFailed = 1
	exitBroken = 3
)

// arguments are the command-line arguments of a soak run.
type arguments struct {
	Bin        string  `help:"Folder with the built programs." default:"bin" type:"path"`
	Former     string  `help:"Folder with the programs of a former build, which every second instance runs; empty for none." default:""`
	Seconds    int     `help:"How long callers send." default:"60"`
	Seed       uint64  `help:"Seed of the plan and of all callers." default:"1"`
	Instances  int     `help:"How many instances." default:"6"`
	Endpoints  int     `help:"How many endpoints." default:"9"`
	Callers    int     `help:"How many callers, each with a connection that it keeps." default:"300"`
	Blind      float64 `help:"Share of callers that do not look whether their connection was closed." default:"0.1"`
	Long       float64 `help:"Share of callers that rest for seconds." default:"0.4"`
	Edge       float64 `help:"Share of callers that come back at the idle limit." default:"0.2"`
	Odd        float64 `help:"Share of requests in pieces, malformed, or left by their callers." default:"0.1"`
	Patient    float64 `help:"Share of requests whose callers stay to their deadline: streams with long pauses, and large ones that are read slowly." default:"0.03"`
	UntilClose float64 `help:"Share of the answers of endpoints that end with their connection, with neither a length nor chunks." default:"0.2"`
	CutOff     float64 `help:"Share of these that their endpoint breaks off." default:"0.15"`
	Software   int     `help:"How many software versions of endpoints serve side by side. With more than one, endpoints change to newer ones one after another." default:"2"`
	TakeUp     float64 `help:"Share of resumable streams whose callers lose their connection in the middle. Callers take up all broken ones. With 0, they take up none." default:"0.3"`
	Crashers   int     `help:"How many requests come again and again that crash each endpoint which runs them." default:"0"`
	Together   int     `help:"How many callers send such a request at the same moment, each to another instance if there are as many." default:"1"`
	Notices    bool    `help:"Have endpoints say of themselves that they take a limited number of requests, leave or want to rest."`
	Endless    bool    `help:"Have endpoints send bytes without end in place of their answers."`
	Herd       string  `help:"Which instances are killed at the same moment, again and again, among callers with streams of seconds and software versions that leave: all, most, hall, separated by commas; empty for none."`
	HerdShare  float64 `help:"Share of the instances that are killed at once with most, rounded up." default:"0.6"`
	Halls      int     `help:"Over how many halls instances and endpoints are spread." default:"3"`
	Only       string  `help:"Kinds of step that may be drawn, separated by commas; empty for all, none for no step."`
	Cases      string  `help:"Play kept cases in place of a run: all, short, or a case's name."`
	Plant      string  `help:"Put a fault into the record of the run, which a check must find: ${plants}."`
	NoCut      bool    `help:"Take a stream that may be resumed and ended in its middle for broken: for plans whose endpoints all live."`
	Folder     string  `help:"Where folders of runs go." default:"" type:"path"`
	Keep       bool    `help:"Keep the folder of a run that broke nothing."`
	Debug      bool    `help:"Log each step."`
}

// command is the whole command line: the soak run and the hidden subcommands with which the soak starts its own child processes.
type command struct {
	Run      arguments               `cmd:"" default:"withargs" help:"Run a soak."`
	Daemons  arguments               `cmd:"" help:"Run a soak of shelfledged in place of shelfledge-entry: instances are daemons, endpoints engines."`
	Store    outside.StoreOptions    `cmd:"" hidden:"" help:"Be the platform's store."`
	Endpoint outside.EndpointOptions `cmd:"" hidden:"" help:"Be an endpoint."`
	Spin     spinOptions             `cmd:"" hidden:"" help:"Keep a processor busy."`
}

// spinOptions are the settings of a child process that keeps one processor busy.
type spinOptions struct {
	For time.Duration `help:"How long." default:"5s"`
}

func main() {
	var c command
	context := kong.Parse(&c, kong.Name("soak"), kong.Description("Disturbs real processes by a plan and checks that no promise is broken."),
		kong.Vars{"plants": strings.Join(plantNames(), ", ")})
	// go-zero, which the stand-ins use, would otherwise print resource statistics of the soak process.
	logx.DisableStat()
	os.Exit(exitCode(dispatch(context.Command(), c)))
}

func dispatch(name string, c command) error {
	switch name {
	case "daemons":
		return runDaemons(c.Daemons)
	case "store":
		return outside.RunStore(c.Store)
	case "endpoint":
		return outside.RunEndpoint(c.Endpoint)
	case "spin":
		spin(c.Spin.For)
		return nil
	}
	if c.Run.Cases != "" {
		return runCases(c.Run)
	}
	return runSoak(c.Run)
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "soak:", err)
	var broken *findingsError
	if errors.As(err, &broken) {
		return exitBroken
	}
	return exitFailed
}

// spin keeps one processor busy for the given time.
func spin(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		continue
	}
}
