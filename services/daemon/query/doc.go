// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package query answers operators' queries: it builds the tables of this instance,
// gathers those of others, filters, groups and sorts, and explains single cases.
package query
