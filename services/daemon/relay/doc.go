// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay carries a caller's request to an endpoint and the answer back: it
// gets a ticket, starts the request, checks whose answer comes, passes it on event
// by event, resumes or repeats where that is allowed, and settles the outcome.
package relay
