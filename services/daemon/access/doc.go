// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package access decides which operator a key belongs to and what it may do.
//
// A Service owns the hashes of the keys and, in memory only, the failures of each address in the present minute. It
// relies on the time that its caller gives, and starts no goroutines.
package access
