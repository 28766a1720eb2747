// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configuration stores and follows the operators' configuration in the platform's key-value service: a log of
// records and one head key that is moved by compare-and-swap. Each record has an identifier, so that a lost answer is
// settled by reading what is there.
//
// A Store owns a catalog of its own, brought up to date at each commit; a Follower owns nothing but its watch and
// offers what it reads to the control thread. Both rely on modules/daemon/kv for the calls and on models/daemon/catalog
// for the records. A Follower that watches has one goroutine, which Stop waits for; a Store starts none.
package configuration
