// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package proxy serves callers' requests: it matches the route, acquires an endpoint from the coordinator, forwards the request and
// the response, and retries or resumes a request only where running it again is allowed. The status of an error response depends on
// whether the request may have run.
//
// The package owns the requests in flight (inflight) with their attempts (exchange) and size-limited bodies (requestBody), and
// it writes one log line per request, including requests that are refused before an endpoint is chosen. Package attempt makes every
// decision, the coordinator provides endpoints and the retry budget, package upstream provides connections, and a Dialect reads and
// writes the headers. Requests are served on the goroutines of their connections. The package starts no goroutines apart from
// timers, which look for another endpoint while the current one is silent.
package proxy
