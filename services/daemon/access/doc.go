// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package access authenticates operators by their keys and checks their roles.
//
// A Service holds the hashes of the keys and, in memory only, the number of recent authentication failures of each
// client address. The caller passes the current time to each call. A Service starts no goroutines.
package access
