//go:build review

// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wireNames are the names of the users' protocol that the stand-ins of this folder use.
type wireNames struct {
	Attempt, Seal, Expect, Tokens, Report, Settings string
}

var names = readNames()

func readNames() wireNames {
	var read wireNames
	if err := json.Unmarshal(wireFile, &read); err != nil {
		panic(err)
	}
	return read
}
