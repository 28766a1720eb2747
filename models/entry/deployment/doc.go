// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package deployment holds the data types that all parts of the entry program share: the routes and services of a configuration, endpoints
// with what they hold, and the properties of a request on which decisions depend. The types have no behaviour beyond look-ups.
//
// Package platform fills them from the settings, the store and the callers' headers. This package does no I/O and starts no goroutine.
package deployment
