// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller implements the HTTP interface for callers: an OpenAI-compatible API for adapters and services, and plain
// services under their own path prefixes.
//
// A Router owns the count of open requests. It uses services/daemon/relay to run a request and the current catalog to
// resolve the model. modules/daemon/httpserver serves its routes, each request on the goroutine of its connection; the
// package starts no goroutines.
package caller
