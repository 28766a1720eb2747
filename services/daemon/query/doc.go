// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package query answers operators' queries. It builds the tables of this instance, collects the tables of other
// instances, filters, groups and sorts the rows, and explains what happened to a request, adapter, slot or revision.
//
// A Service has no state of its own: it builds the rows for each query from the catalog, the control goroutine's view and
// the journal. modules/daemon/language parses the queries, and modules/daemon/peerlink transfers the parts of other
// instances. A query of the whole fleet runs one goroutine for each instance or hall that is asked, and waits for all
// of them.
package query
