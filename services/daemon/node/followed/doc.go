// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package followed holds the configuration that a node follows: the catalog in force,
// the records that led to it, the highest announced revision, and the time of the next request
// for missing records. AnswerQueue schedules the answers to peers that request records from this node.
//
// It owns the catalog in force and relies on models/daemon/catalog, which applies records. The
// node sends the messages and distributes a new catalog to traffic and placement. The package
// starts no goroutines and reads no clock.
package followed
