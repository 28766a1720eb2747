// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ring ranks instances for a key by rendezvous hashing.
//
// All instances must compute the same ranking without communication, so neither the hash nor its constants may change between versions. The
// package keeps no state and starts no goroutines.
package ring
