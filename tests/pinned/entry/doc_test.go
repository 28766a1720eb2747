// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry_test compares the external interfaces of shelfledge-entry with golden files under
// testdata: stored values, peer messages, store requests, orders, headers, responses, log lines,
// metrics, flags and exit codes. Two versions of the program run side by side during a rolling
// restart, so renaming Go identifiers must not change any of these. The tests refer to few Go
// names of the program, so that the golden files stay valid when packages move or identifiers
// change. The flag -update rewrites the golden files.
package entry_test
