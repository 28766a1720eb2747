// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package store is the product's view of a linearizable key-value store with
// transactions, watches and leases. Client holds function fields, filled by an
// adapter for one store's protocol or by a fake in a test.
package store
