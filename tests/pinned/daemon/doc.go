// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package daemon compares the external interfaces of shelfledged and shelfctl with
// golden files under testdata: stored values, messages between instances, HTTP, and
// the operators' language. The flag -update rewrites the golden files. Use it only for
// an intended change of an external interface, since two versions of the program run
// side by side during a rolling restart.
package daemon
