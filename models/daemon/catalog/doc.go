// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package catalog contains the operators' configuration: adapters, versions, services, rules, limits and budgets, and
// the changes that create a new revision of it.
//
// A Catalog is immutable once it is published, so that readers need no lock. A History owns the recent records in their
// stored form; it is not safe for concurrent use. The package uses models/daemon/fleet, and zstd for the stored form. It
// does no I/O and starts no goroutines.
package catalog
