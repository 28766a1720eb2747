// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package catalog holds the operators' configuration: adapters, versions, services, rules, limits and budgets, and the
// changes that make a new revision of it.
//
// A Catalog never changes once built, so that readers need no lock; History owns the recent records in their stored
// form and is its holder's alone. The package relies on models/daemon/fleet and on zstd for the stored form, does no
// I/O and starts no goroutines.
package catalog
