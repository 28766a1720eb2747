// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ring ranks instances for a key by rendezvous hashing.
//
// Instances must agree on the ranks without a message, so neither the hash nor its constants may change between
// versions. The package owns no state and starts no goroutines.
package ring
