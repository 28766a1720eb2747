// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package followed holds the configuration that a node follows: the catalog in force,
// the records that led to it, the highest revision that anyone has named, and when to
// ask a peer for what is missing. Answers decides when the peers that ask here get it.
//
// It owns the catalog in force and relies on models/daemon/catalog, which applies records. The
// node sends the messages and puts a new catalog in force for traffic and placement. It
// starts no goroutines and reads no clock.
package followed
