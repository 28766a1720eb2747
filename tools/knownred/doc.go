// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command knownred checks the events of a test run against the list of known failures and reports whether the run is
// accepted.
package main
