// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package deployment holds the records that every part of the entry program shares:
// routes and services of one configuration, endpoints with what they hold, and the
// facts of one request that decisions need. The records carry no behaviour beyond look-ups.
//
// It owns nothing and relies on nothing: package platform fills the records in from the settings, the store and the callers'
// headers. It does no I/O and starts no goroutine.
package deployment
