// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry_test pins what others see of shelfledge-entry as files under testdata: stored
// values, peer messages, calls of the store, orders, headers, answers, log lines, metrics, flags
// and exit codes. Two versions of the program run side by side during a rolling restart, so none
// of these may change by a renaming. The tests use few Go names of the program: packages may
// move and identifiers change while the files stay. The flag -update writes the files anew.
package entry_test
