// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance chooses the endpoint for a request among those that can run it, and the service of a route with several services.
//
// The package owns the order of preference, the verdict if there is no endpoint, and the rule where an older version than the named
// one may serve. Endpoints are drawn at random so that the requests of all instances together level the requests in flight; crossing
// halls counts as one request more, 2.5 for plain services. While the counts of the other instances are recent, the endpoint with the
// fewest requests is chosen. Endpoints to be avoided come last. The package relies on package directory for what this instance knows
// of the endpoints. It keeps no state, does no I/O and starts no goroutines.
package balance
