// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ring ranks instances for a key by rendezvous hashing.
package ring
