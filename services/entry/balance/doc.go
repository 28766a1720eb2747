// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance chooses the endpoint that takes a request, among those that can run it, and the service of a
// route with several.
//
// It owns the order of preference (drawn so that the requests of all instances level the requests in flight, where crossing
// halls counts as one more, 2.5 for plain services; the fewest while the others' counts are young; endpoints that are avoided
// last), the verdict when there is none, and where a version older than the named one may serve. It relies on package directory
// for what this instance knows of the endpoints. It keeps no state, does no I/O and starts no goroutine.
package balance
