// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package store is the product's view of a linearizable key-value store with transactions, watches and leases.
//
// It owns the types of items, changes and transactions and the errors that tell whether a call was done: RefusedError says that
// it surely was not, UnknownError that it may have been or may yet be. Client holds function fields, filled by an adapter for one
// store's protocol or by a fake in a test. The package relies on nothing else, keeps no state and starts no goroutines.
package store
