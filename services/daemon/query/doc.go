// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package query answers operators' queries: it builds the tables of this instance, gathers those of others, filters,
// groups and sorts, and explains single cases.
//
// A Service owns no state: rows are built for each query from the catalog, the control thread's view and the journal.
// It relies on modules/daemon/language for the parsed query and on modules/daemon/peerlink for the other instances'
// parts. A query of the whole fleet has one goroutine for each instance or hall that is asked, and waits for all of
// them.
package query
