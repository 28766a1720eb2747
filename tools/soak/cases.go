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

// embeddedCases holds the runs that once found a fault, each with the cause of the fault.
//
//go:embed cases.json
var embeddedCases []byte

// soakCase is one regression case of cases.json.
type soakCase struct {
	Name string `json:"name"`
	// Cause describes the fault. Short reports whether CI runs the case.
	Cause string `json:"cause"`
	Short bool   `json:"short"`
	// Daemons reports whether the case runs shelfledged in place of shelfledge-entry.
	Daemons bool `json:"daemons"`
	// Arguments override the arguments of the command line.
	Arguments json.RawMessage `json:"arguments"`
}

// Values of --cases other than the name of a case.
const (
	allCases   = "all"
	shortCases = "short"
)

// runCases runs the selected cases one after the other and continues after a failed case.
func runCases(args arguments) error {
	var cases []soakCase
	if err := json.Unmarshal(embeddedCases, &cases); err != nil {
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
		return fmt.Errorf("--cases: no case %q, only %s", args.Cases, strings.Join(append(caseNames(cases), allCases, shortCases), ", "))
	}
	return errors.Join(failed...)
}

func caseNames(cases []soakCase) []string {
	all := make([]string, 0, len(cases))
	for _, one := range cases {
		all = append(all, one.Name)
	}
	return all
}
