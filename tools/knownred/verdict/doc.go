// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package verdict judges a test run by its events (go test -json) and the list of tests that are known
// to fail. It holds no state, starts no goroutine and reads no file.
package verdict
