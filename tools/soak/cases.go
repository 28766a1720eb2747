// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// keptCases are the runs that once broke something, each with its cause.
//
//go:embed cases.json
var keptCases []byte

// keptCase is one of them.
type keptCase struct {
	Name string `json:"name"`
	// Cause is what was wrong, and Short says that CI plays it.
	Cause string `json:"cause"`
	Short bool   `json:"short"`
	// Daemons says that it is a run of shelfledged.
	Daemons bool `json:"daemons"`
	// Arguments are the run's, laid over those of the command line.
	Arguments json.RawMessage `json:"arguments"`
}

// The choices of cases beside a case's own name.
const (
	allCases   = "all"
	shortCases = "short"
)

// runCases plays the cases that were chosen, one after the other, also after one that breaks something.
func runCases(args arguments) error {
	var cases []keptCase
	if err := json.Unmarshal(keptCases, &cases); err != nil {
		return err
	}
	var failed []error
	played := 0
	for _, one := range cases {
		if args.Cases != allCases && args.Cases != one.Name && (args.Cases != shortCases || !one.Short) {
			continue
		}
		played++
		of := args
		if err := json.Unmarshal(one.Arguments, &of); err != nil {
			return err
		}
		fmt.Printf("case %s: %s\n", one.Name, one.Cause)
		run := runSoak
		if one.Daemons {
			run = runDaemons
		}
		if err := run(of); err != nil {
			failed = append(failed, fmt.Errorf("case %s: %w", one.Name, err))
		}
	}
	if played == 0 {
		return fmt.Errorf("--cases: no case %q, only %s", args.Cases, strings.Join(append(names(cases), allCases, shortCases), ", "))
	}
	return errors.Join(failed...)
}

func names(cases []keptCase) []string {
	all := make([]string, 0, len(cases))
	for _, one := range cases {
		all = append(all, one.Name)
	}
	return all
}
