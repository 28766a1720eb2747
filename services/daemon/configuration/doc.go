// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configuration stores the operators' configuration in the platform's key-value service and watches it for
// changes. The configuration is a log of records and one head key, which is updated by compare-and-swap. Each record
// has an identifier, so that the outcome of a commit whose response was lost can be determined by reading the log.
//
// A Store holds its own catalog, which it synchronizes with the stored log at each commit. A Follower holds only its
// watch and passes the records that it reads to the control goroutine. Store and Follower call the key-value service
// through modules/daemon/kv and use the records of models/daemon/catalog. A watching Follower runs one goroutine, which
// Stop waits for. A Store starts no goroutines.
package configuration
