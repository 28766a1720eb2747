// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package store defines the client interface of a linearizable key-value store with transactions, watches and leases.
//
// It defines the types of items, changes and transactions, and errors that state whether a call took effect: RefusedError means that it did
// not, UnknownError that it may have or may still do so. The function fields of Client are set by an adapter for the protocol of one store,
// or by a fake in a test. The package keeps no state and starts no goroutines.
package store
