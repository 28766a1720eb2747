// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay forwards a caller's request to an endpoint and returns the answer. It requests a ticket, starts the request,
// checks that the answer belongs to the request, forwards it event by event, resumes or retries where that is allowed, and
// returns the ticket.
//
// A Service owns the retry budget, the byte budget for whole answers (answer_reader.go) and the requests in flight. It
// relies on services/daemon/control for tickets, on services/daemon/once for claims, on modules/daemon/bytebudget for the
// byte budget and on modules/daemon/engine for the endpoints' protocol. Each job runs on its caller's goroutine. A request
// whose outcome is unknown leaves one goroutine behind, which cancels the request at the endpoint until the endpoint
// answers. Wait waits for all of them.
package relay
