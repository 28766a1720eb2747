// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package catalog holds the operators' configuration: adapters, versions,
// services, rules, limits and budgets, and the changes that make a new
// revision of it. A Catalog never changes once built, so that readers need no lock.
package catalog
