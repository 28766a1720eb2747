// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process_test runs the built program as a process of its own between raw callers and stand-ins of the platform, with real
// sockets, signals and clocks, for faults that nothing inside one process can show.
package process_test
