// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package verdict compares the events of a test run (go test -json) with the list of tests that are known to fail. It
// holds no state, starts no goroutines and reads no files.
package verdict
