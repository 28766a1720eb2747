// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay carries a caller's request to an endpoint and the answer back: it gets a ticket, starts the request,
// checks whose answer comes, passes it on event by event, resumes or retries where that is allowed, and settles the
// outcome.
//
// A Service owns the retry budget, the room for whole answers (answer_reader.go) and the requests in flight. It relies on
// services/daemon/control for tickets, on services/daemon/once for claims, on modules/daemon/bytebudget for the room and on
// modules/daemon/engine for the endpoints' protocol. Each job runs on its caller's goroutine; a request whose end is unknown leaves one goroutine behind, which cancels it at the endpoint
// until that answers, and Wait waits for all of them.
package relay
