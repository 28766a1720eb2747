// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package proxy serves callers' requests: it finds the route, asks for an endpoint, forwards
// the request, passes the answer on, and retries or resumes only what may run again. Whether
// the request may have run decides every answer of its own.
//
// It owns the requests under way (run) with their attempts (exchange), their bounded bodies (requestBody) and the one log line of
// each, also of those that are refused before an endpoint is asked. It relies on package attempt
// for every decision, on the coordinator for endpoints and the budget of retries, on package upstream for connections and
// on a Dialect for the headers. Requests are served on the goroutines of their connections; it starts none but timers, which
// look for another endpoint while one is silent.
package proxy
