// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller serves callers: OpenAI-compatible HTTP for adapters and services, and plain services under their own
// path prefixes.
//
// A Router owns the count of open requests. It relies on services/daemon/relay to run a request, on the catalog in
// force to resolve its model, and on modules/daemon/httpserver to serve its routes, each request on its connection's
// goroutine; it starts none.
package caller
