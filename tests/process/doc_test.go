// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process_test runs the built entry program as a separate process between raw callers and fakes of the platform, with real
// sockets, signals and clocks, for faults that do not occur inside a single process.
package process_test
